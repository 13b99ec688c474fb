#include "gateway/configuration/configuration_follower.h"

#include "gateway/membership/aggregator_choice.h"

#include <algorithm> // find
#include <optional>  // optional
#include <utility>   // exchange, move
#include <variant>   // get_if
#include <vector>    // vector

namespace hickorykeel::gateway {

namespace {

constexpr duration relay_connect_timeout = std::chrono::milliseconds{500};

/// Age of a peer host's configuration: the age in its last heartbeat plus the time since then.
duration reported_age(const member& host, time_point now)
{
    return host.last.configuration_age + (now - host.last_seen);
}

} // namespace

configuration_follower::configuration_follower(dependencies objects, follower_options options,
                                               std::function<void()> on_change)
    : m_dependencies{objects}, m_options{std::move(options)},
      m_on_change{std::move(on_change)}, m_timer{objects.loop}
{
}

void configuration_follower::start()
{
    read();
}

void configuration_follower::read()
{
    const member* reader = m_is_querying_peer ? nullptr : select_reader(boot_clock::now());
    if (reader == nullptr) {
        read_source();
        return;
    }
    query_peer(*reader, [this](bool is_fresh) {
        if (is_fresh) {
            schedule_read(m_options.read_interval);
        }
        else {
            read_source();
        }
    });
}

void configuration_follower::read_source()
{
    m_dependencies.source.read(
        [this, requested_at = boot_clock::now()](result<published_reading> reading) {
            on_reading(std::move(reading), requested_at);
        });
}

void configuration_follower::on_reading(result<published_reading> reading, time_point requested_at)
{
    const error* failure = std::get_if<error>(&reading);
    record_source_result(failure);
    if (failure == nullptr) {
        apply_reading(std::get<published_reading>(std::move(reading)), requested_at);
        schedule_read(m_options.read_interval);
        return;
    }
    m_dependencies.state.on_failure();
    query_fresher_peer();
    schedule_read(m_options.retry_interval);
}

void configuration_follower::apply_reading(published_reading reading, time_point confirmed_at)
{
    const std::size_t unusable = reading.unusable_entries;
    const std::size_t before = m_dependencies.state.endpoints().size();
    const state_change change =
        m_dependencies.state.apply(std::move(reading), confirmed_at, boot_clock::now());
    if (change.is_configuration_changed) {
        log_configuration();
    }
    for (const std::string& id : change.removed) {
        m_dependencies.log.write(log_line{"endpoint_removed"}.add("endpoint", id));
    }
    if (std::exchange(m_unusable_entries, unusable) != unusable) {
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
    const published_reading& last = m_dependencies.state.last();
    log_line line{"configuration"};
    line.add("version",
             static_cast<std::int64_t>(last.published == nullptr ? 0 : last.published->version))
        .add("revision", static_cast<std::int64_t>(last.revision));
    for (const std::string& failure_domain : last.evacuated_domains) {
        line.add("evacuated", failure_domain);
    }
    m_dependencies.log.write(line);
}

void configuration_follower::record_source_result(const error* failure)
{
    const bool was_lost = std::exchange(m_is_source_lost, failure != nullptr);
    if (failure != nullptr) {
        m_dependencies.metrics.count("source_failure");
    }
    if (was_lost == m_is_source_lost) {
        return;
    }
    log_line line{m_is_source_lost ? "source_lost" : "source_regained"};
    line.add_ms("configuration_age_ms", m_dependencies.state.age(boot_clock::now()));
    if (failure != nullptr) {
        line.add("error", failure->to_string());
    }
    m_dependencies.log.write(line);
}

void configuration_follower::schedule_read(duration delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this](const asio::error_code& failure) {
        if (!failure) {
            read();
        }
    });
}

const member* configuration_follower::select_fresher_peer(time_point now)
{
    const auto hosts = m_dependencies.members.live(now);
    // round robin, so that a peer that does not respond is not queried again at once
    for (std::size_t examined = 0; examined < hosts.size(); ++examined) {
        const member* candidate = hosts[m_next_peer++ % hosts.size()];
        const duration age = reported_age(*candidate, now);
        if (candidate->last.has_configuration && age < m_dependencies.state.age(now)) {
            return candidate;
        }
    }
    return nullptr;
}

/// Returns the reader to query, or null if this host has to read the source itself.
const member* configuration_follower::select_reader(time_point now)
{
    std::vector<aggregator_candidate> candidates{{m_options.ip, m_options.failure_domain}};
    for (const member* host : m_dependencies.members.ready(now)) {
        if (host->last.region == m_options.region) {
            candidates.push_back({host->last.ip, host->last.failure_domain});
        }
    }
    const auto readers = choose_aggregators(candidates, m_options.max_readers);
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
    duration min_age = m_options.max_relay_age;
    for (const std::string& ip : readers) {
        const member* candidate = m_dependencies.members.find(ip);
        const duration age = reported_age(*candidate, now);
        if (candidate->last.has_configuration && age < min_age) {
            freshest = candidate;
            min_age = age;
        }
    }
    return freshest;
}

void configuration_follower::query_fresher_peer()
{
    const time_point now = boot_clock::now();
    if (m_is_querying_peer || m_dependencies.state.age(now) < m_options.max_relay_age) {
        return;
    }
    if (const member* chosen = select_fresher_peer(now)) {
        query_peer(*chosen, [](bool) {});
    }
}

/// A query to a peer host, and its response.
struct configuration_follower::relay_query {
    relay_query(asio::io_context& loop, std::string peer)
        : host{std::move(peer)}, requested_at{boot_clock::now()}, timeout_timer{loop}
    {
    }

    std::string host;
    time_point requested_at;
    asio::steady_timer timeout_timer;
    std::shared_ptr<client_connection> call;
    std::optional<duration> age; ///< since the text was confirmed up to date
    std::string text;
};

/// Queries the published state of `chosen`. Calls `on_end` once, with whether a usable state
/// younger than `max_relay_age` was received.
void configuration_follower::query_peer(const member& chosen,
                                        std::function<void(bool is_fresh)> on_end)
{
    m_is_querying_peer = true;
    const auto query = std::make_shared<relay_query>(m_dependencies.loop, chosen.last.host);
    const auto end = [this, query, on_end = std::move(on_end)](std::string_view failure) {
        m_is_querying_peer = false;
        query->timeout_timer.cancel();
        if (!failure.empty()) {
            on_relay_failure(query->host, failure);
        }
        on_end(failure.empty() && apply_relayed(*query));
    };
    query->timeout_timer.expires_after(m_options.relay_timeout);
    query->timeout_timer.async_wait([query, end](const asio::error_code& failure) {
        if (!failure) {
            query->call->cancel();
            end("no answer in time");
        }
    });
    const std::string address = chosen.last.ip + ':' + std::to_string(m_options.relay_port);
    header_list headers;
    headers.add("Host", address);
    query->call = m_dependencies.client.call(
        {.address = address, .connect_timeout = relay_connect_timeout},
        format_request("GET", relay_path, headers, {}),
        {.on_head =
             [query](const message_head& head) {
                 query->age = parse_milliseconds(head.headers.find(relay_age_header));
             },
         .on_body = [query](std::string& bytes) { query->text += std::exchange(bytes, {}); },
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

/// Applies a peer host's state. Returns whether it was usable and younger than `max_relay_age`.
bool configuration_follower::apply_relayed(const relay_query& query)
{
    if (!query.age) {
        on_relay_failure(query.host, "age unreadable");
        return false;
    }
    auto decoded = m_dependencies.source.decode(query.text);
    if (const auto* failure = std::get_if<error>(&decoded)) {
        on_relay_failure(query.host, failure->to_string());
        return false;
    }
    m_dependencies.metrics.count("relay");
    apply_reading(std::get<published_reading>(std::move(decoded)), query.requested_at - *query.age);
    return *query.age < m_options.max_relay_age;
}

void configuration_follower::serve_peer(server_exchange& request) const
{
    header_list headers;
    headers.add("Content-Type", "text/plain");
    const duration age = m_dependencies.state.age(boot_clock::now());
    headers.add(std::string{relay_age_header}, std::to_string(to_milliseconds(age).count()));
    request.respond(200, headers, m_dependencies.state.last().text);
}

} // namespace hickorykeel::gateway
