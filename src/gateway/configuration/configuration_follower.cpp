#include "gateway/configuration/configuration_follower.h"

#include "gateway/configuration/reader_choice.h"

#include <algorithm> // find
#include <optional>  // optional
#include <utility>   // exchange, move
#include <variant>   // get_if
#include <vector>    // vector

namespace hickorykeel::gateway {

namespace {

constexpr duration relay_connect_timeout = std::chrono::milliseconds{500};

/// Age of what a host knows, as its last heartbeat states it.
duration stated_age(const member& host, time_point now)
{
    return host.last.configuration_age + (now - host.heard);
}

} // namespace

configuration_follower::configuration_follower(dependencies with, follower_options options,
                                               std::function<void()> on_change)
    : m_dependencies{with}, m_options{std::move(options)},
      m_on_change{std::move(on_change)}, m_timer{with.loop}
{
}

void configuration_follower::start()
{
    read();
}

void configuration_follower::read()
{
    const member* reader = m_is_asking ? nullptr : pick_reader(boot_clock::now());
    if (reader == nullptr) {
        read_source();
        return;
    }
    ask(*reader, [this](bool is_fresh) {
        if (is_fresh) {
            wait(m_options.read_interval);
        }
        else {
            read_source();
        }
    });
}

void configuration_follower::read_source()
{
    m_dependencies.source.read(
        [this, asked_at = boot_clock::now()](result<published_reading> answer) {
            on_answer(std::move(answer), asked_at);
        });
}

void configuration_follower::on_answer(result<published_reading> answer, time_point asked_at)
{
    const error* failure = std::get_if<error>(&answer);
    note_source(failure);
    if (failure == nullptr) {
        take(std::get<published_reading>(std::move(answer)), asked_at);
        wait(m_options.read_interval);
        return;
    }
    m_dependencies.state.on_failure();
    ask_fresher_host();
    wait(m_options.retry_interval);
}

void configuration_follower::take(published_reading reading, time_point current_at)
{
    const std::size_t unusable = reading.unusable_entries;
    const std::size_t before = m_dependencies.state.endpoints().size();
    const state_change change =
        m_dependencies.state.apply(std::move(reading), current_at, boot_clock::now());
    if (change.is_newer) {
        log_configuration();
    }
    for (const std::string& id : change.removed) {
        m_dependencies.log.write(log_line{"endpoint_removed"}.add("endpoint", id));
    }
    if (std::exchange(m_unusable, unusable) != unusable) {
        m_dependencies.log.write(log_line{"endpoint_entries_unusable"}.add(
            "count", static_cast<std::int64_t>(unusable)));
    }
    if (m_dependencies.state.endpoints().size() != before) {
        m_dependencies.log.write(log_line{"endpoints"}.add(
            "count", static_cast<std::int64_t>(m_dependencies.state.endpoints().size())));
    }
    m_on_change();
}

void configuration_follower::log_configuration() const
{
    const published_reading& held = m_dependencies.state.last();
    log_line line{"configuration"};
    line.add("version",
             static_cast<std::int64_t>(held.published == nullptr ? 0 : held.published->version))
        .add("revision", static_cast<std::int64_t>(held.revision));
    for (const std::string& failure_domain : held.evacuated_domains) {
        line.add("evacuated", failure_domain);
    }
    m_dependencies.log.write(line);
}

void configuration_follower::note_source(const error* failure)
{
    const bool was_lost = std::exchange(m_is_lost, failure != nullptr);
    if (failure != nullptr) {
        m_dependencies.metrics.count("source_failure");
    }
    if (was_lost == m_is_lost) {
        return;
    }
    log_line line{m_is_lost ? "source_lost" : "source_regained"};
    line.add_ms("configuration_age_ms", m_dependencies.state.age(boot_clock::now()));
    if (failure != nullptr) {
        line.add("error", failure->to_string());
    }
    m_dependencies.log.write(line);
}

void configuration_follower::wait(duration span)
{
    m_timer.expires_after(span);
    m_timer.async_wait([this](const asio::error_code& failure) {
        if (!failure) {
            read();
        }
    });
}

const member* configuration_follower::pick_fresher_host(time_point now)
{
    const auto hosts = m_dependencies.members.live(now);
    // in turn, so that one that doesn't answer isn't asked again at once
    for (std::size_t tried = 0; tried < hosts.size(); ++tried) {
        const member* candidate = hosts[m_asked++ % hosts.size()];
        const duration age = stated_age(*candidate, now);
        if (candidate->last.has_configuration && age < m_dependencies.state.age(now)) {
            return candidate;
        }
    }
    return nullptr;
}

/// The reader to ask. Null: this host reads the source itself.
const member* configuration_follower::pick_reader(time_point now)
{
    std::vector<std::string> ips{m_options.ip};
    for (const member* host : m_dependencies.members.ready(now)) {
        if (host->last.region == m_options.region) {
            ips.push_back(host->last.ip);
        }
    }
    const auto readers = choose_readers(std::move(ips), m_options.max_readers);
    const bool is_reader = m_dependencies.state.published() == nullptr ||
                           std::find(readers.begin(), readers.end(), m_options.ip) != readers.end();
    if (std::exchange(m_is_reader, is_reader) != is_reader) {
        m_dependencies.log.write(
            log_line{is_reader ? "source_read_here" : "source_read_by_others"}.add(
                "readers", static_cast<std::int64_t>(readers.size())));
    }
    if (is_reader) {
        return nullptr;
    }
    const member* freshest = nullptr;
    duration least_age = m_options.max_relay_age;
    for (const std::string& ip : readers) {
        const member* candidate = m_dependencies.members.find(ip);
        const duration age = stated_age(*candidate, now);
        if (candidate->last.has_configuration && age < least_age) {
            freshest = candidate;
            least_age = age;
        }
    }
    return freshest;
}

void configuration_follower::ask_fresher_host()
{
    const time_point now = boot_clock::now();
    if (m_is_asking || m_dependencies.state.age(now) < m_options.max_relay_age) {
        return;
    }
    if (const member* chosen = pick_fresher_host(now)) {
        ask(*chosen, [](bool) {});
    }
}

/// A question to another host, and its answer.
struct configuration_follower::relay_call {
    relay_call(asio::io_context& loop, std::string asked)
        : host{std::move(asked)}, asked_at{boot_clock::now()}, limit{loop}
    {
    }

    std::string host;
    time_point asked_at;
    asio::steady_timer limit;
    std::shared_ptr<client_connection> call;
    std::optional<duration> age; ///< since the text was certainly the newest
    std::string text;
};

/// Asks `chosen` what it knows. `on_end` hears whether that was fresh.
void configuration_follower::ask(const member& chosen, std::function<void(bool is_fresh)> on_end)
{
    m_is_asking = true;
    const auto begun = std::make_shared<relay_call>(m_dependencies.loop, chosen.last.host);
    const auto end = [this, begun, on_end = std::move(on_end)](std::string_view failure) {
        m_is_asking = false;
        begun->limit.cancel();
        if (!failure.empty()) {
            on_relay_failure(begun->host, failure);
        }
        on_end(failure.empty() && on_relayed(*begun));
    };
    begun->limit.expires_after(m_options.relay_timeout);
    begun->limit.async_wait([begun, end](const asio::error_code& failure) {
        if (!failure) {
            begun->call->cancel();
            end("no answer in time");
        }
    });
    const std::string address = chosen.last.ip + ':' + std::to_string(m_options.relay_port);
    header_list headers;
    headers.add("Host", address);
    begun->call = m_dependencies.client.call(
        {.address = address, .connect_timeout = relay_connect_timeout},
        format_request("GET", relay_path, headers, {}),
        {.on_head =
             [begun](const message_head& head) {
                 begun->age = parse_milliseconds(head.headers.find(relay_age_header));
             },
         .on_body = [begun](std::string& bytes) { begun->text += std::exchange(bytes, {}); },
         .on_end =
             [end](call_end how) {
                 end(how == call_end::complete ? std::string_view{} : to_name(how));
             }});
}

void configuration_follower::on_relay_failure(const std::string& host, std::string_view reason)
{
    m_dependencies.metrics.count("relay_failure");
    m_dependencies.log.write(log_line{"relay_failed"}.add("peer", host).add("reason", reason));
}

/// Takes over what another host knows. Returns whether it was fresh.
bool configuration_follower::on_relayed(const relay_call& answered)
{
    if (!answered.age) {
        on_relay_failure(answered.host, "age unreadable");
        return false;
    }
    auto decoded = m_dependencies.source.decode(answered.text);
    if (const auto* failure = std::get_if<error>(&decoded)) {
        on_relay_failure(answered.host, failure->to_string());
        return false;
    }
    m_dependencies.metrics.count("relay");
    take(std::get<published_reading>(std::move(decoded)), answered.asked_at - *answered.age);
    return *answered.age < m_options.max_relay_age;
}

void configuration_follower::serve_peer(server_exchange& question) const
{
    header_list headers;
    headers.add("Content-Type", "text/plain");
    const duration age = m_dependencies.state.age(boot_clock::now());
    headers.add(std::string{relay_age_header}, std::to_string(to_milliseconds(age).count()));
    question.respond(200, headers, m_dependencies.state.last().text);
}

} // namespace hickorykeel::gateway
