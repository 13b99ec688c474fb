#include "gateway/configuration/configuration_follower.h"

#include <utility> // exchange, move
#include <variant> // get_if

#include <nlohmann/json.hpp>

namespace hickorykeel::gateway {

namespace {

constexpr duration relay_connect_timeout = std::chrono::milliseconds{500};
constexpr std::int64_t longest_age_ms = 86'400'000;

std::int64_t to_ms(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace

std::string encode(const relayed_state& state)
{
    return nlohmann::json{{"text", state.text}, {"age_ms", to_ms(state.age)}}.dump();
}

std::optional<relayed_state> decode_relayed_state(const std::string& text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("text") || !document["text"].is_string() ||
        !document.contains("age_ms") || !document["age_ms"].is_number_integer()) {
        return std::nullopt;
    }
    const auto age = document["age_ms"].get<std::int64_t>();
    if (age < 0 || age > longest_age_ms) {
        return std::nullopt;
    }
    return relayed_state{document["text"].get<std::string>(), std::chrono::milliseconds{age}};
}

configuration_follower::configuration_follower(parts with, follower_options options,
                                               std::function<void()> on_change)
    : m_with{with}, m_options{options}, m_on_change{std::move(on_change)}, m_timer{with.loop}
{
}

void configuration_follower::start()
{
    read();
}

void configuration_follower::read()
{
    m_with.source.read([this, asked_at = boot_clock::now()](result<published_reading> answer) {
        on_answer(std::move(answer), asked_at);
    });
}

void configuration_follower::on_answer(result<published_reading> answer, time_point asked_at)
{
    const error* failure = std::get_if<error>(&answer);
    note_source(failure);
    if (failure == nullptr) {
        take(std::get<published_reading>(std::move(answer)), asked_at);
        wait(m_options.interval);
        return;
    }
    m_with.state.on_failure();
    ask_host();
    wait(m_options.retry);
}

void configuration_follower::take(published_reading reading, time_point current_at)
{
    const std::size_t unusable = reading.unusable;
    const std::size_t before = m_with.state.endpoints().size();
    const state_change change =
        m_with.state.apply(std::move(reading), current_at, boot_clock::now());
    if (change.is_newer) {
        log_configuration();
    }
    for (const std::string& id : change.removed) {
        m_with.log.write(log_line{"endpoint_removed"}.add("endpoint", id));
    }
    if (std::exchange(m_unusable, unusable) != unusable) {
        m_with.log.write(log_line{"endpoint_entries_unusable"}.add(
            "count", static_cast<std::int64_t>(unusable)));
    }
    if (m_with.state.endpoints().size() != before) {
        m_with.log.write(log_line{"endpoints"}.add(
            "count", static_cast<std::int64_t>(m_with.state.endpoints().size())));
    }
    m_on_change();
}

void configuration_follower::log_configuration() const
{
    const published_reading& held = m_with.state.last();
    log_line line{"configuration"};
    line.add("version",
             static_cast<std::int64_t>(held.published == nullptr ? 0 : held.published->version))
        .add("revision", static_cast<std::int64_t>(held.revision));
    for (const std::string& failure_domain : held.evacuated_domains) {
        line.add("evacuated", failure_domain);
    }
    m_with.log.write(line);
}

void configuration_follower::note_source(const error* failure)
{
    const bool was_lost = std::exchange(m_is_lost, failure != nullptr);
    if (failure != nullptr) {
        m_with.metrics.count("source_failure");
    }
    if (was_lost == m_is_lost) {
        return;
    }
    log_line line{m_is_lost ? "source_lost" : "source_regained"};
    line.add_ms("configuration_age_ms", m_with.state.age(boot_clock::now()));
    if (failure != nullptr) {
        line.add("error", failure->to_string());
    }
    m_with.log.write(line);
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
    const auto hosts = m_with.members.live(now);
    // in turn, so that one that doesn't answer isn't asked again at once
    for (std::size_t tried = 0; tried < hosts.size(); ++tried) {
        const member* candidate = hosts[m_asked++ % hosts.size()];
        const duration age = candidate->last.configuration_age + (now - candidate->heard);
        if (candidate->last.has_configuration && age < m_with.state.age(now)) {
            return candidate;
        }
    }
    return nullptr;
}

void configuration_follower::ask_host()
{
    const time_point now = boot_clock::now();
    if (m_is_asking || m_with.state.age(now) < m_options.relay_age) {
        return;
    }
    const member* chosen = pick_fresher_host(now);
    if (chosen == nullptr) {
        return;
    }
    m_is_asking = true;
    const std::string address = chosen->last.ip + ':' + std::to_string(m_options.relay_port);
    header_list headers;
    headers.add("Host", address);
    auto body = std::make_shared<std::string>();
    const auto on_end = [this, host = chosen->last.host, body, now](call_end end) {
        m_is_asking = false;
        if (end == call_end::complete) {
            on_relayed(host, *body, now);
        }
        else {
            m_with.metrics.count("relay_failure");
            m_with.log.write(
                log_line{"relay_failed"}.add("peer", host).add("reason", to_name(end)));
        }
    };
    m_with.client.call(
        {.address = address, .connect_timeout = relay_connect_timeout},
        format_request("GET", relay_path, headers, {}),
        {.on_body = [body](std::string& bytes) { *body += std::exchange(bytes, {}); },
         .on_end = on_end});
}

void configuration_follower::on_relayed(const std::string& host, const std::string& text,
                                        time_point asked_at)
{
    const auto relayed = decode_relayed_state(text);
    if (!relayed) {
        m_with.metrics.count("relay_failure");
        m_with.log.write(log_line{"relay_unreadable"}.add("peer", host));
        return;
    }
    auto decoded = m_with.source.decode(relayed->text);
    if (const auto* failure = std::get_if<error>(&decoded)) {
        m_with.metrics.count("relay_failure");
        m_with.log.write(
            log_line{"relay_unreadable"}.add("peer", host).add("error", failure->to_string()));
        return;
    }
    m_with.metrics.count("relay");
    take(std::get<published_reading>(std::move(decoded)), asked_at - relayed->age);
}

std::string configuration_follower::relay_text() const
{
    return encode(relayed_state{m_with.state.last().text, m_with.state.age(boot_clock::now())});
}

} // namespace hickorykeel::gateway
