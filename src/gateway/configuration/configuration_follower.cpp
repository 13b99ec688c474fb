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
    return nlohmann::json{{"control", state.control},
                          {"endpoints", state.endpoints},
                          {"control_age_ms", to_ms(state.control_age)},
                          {"endpoints_age_ms", to_ms(state.endpoints_age)}}
        .dump();
}

std::optional<relayed_state> decode_relayed_state(const std::string& text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    const auto is_age = [&document](const char* name) {
        return document.contains(name) && document[name].is_number_integer() &&
               document[name].get<std::int64_t>() >= 0 &&
               document[name].get<std::int64_t>() < longest_age_ms;
    };
    if (!document.is_object() || !is_age("control_age_ms") || !is_age("endpoints_age_ms") ||
        !document.contains("control") || !document["control"].is_string() ||
        !document.contains("endpoints") || !document["endpoints"].is_string()) {
        return std::nullopt;
    }
    return relayed_state{
        document["control"].get<std::string>(), document["endpoints"].get<std::string>(),
        std::chrono::milliseconds{document["control_age_ms"].get<std::int64_t>()},
        std::chrono::milliseconds{document["endpoints_age_ms"].get<std::int64_t>()}};
}

configuration_follower::configuration_follower(parts with, follower_options options,
                                               std::function<void()> on_change)
    : m_with{with}, m_options{std::move(options)}, m_on_change{std::move(on_change)},
      m_control{asio::steady_timer{with.loop}}, m_endpoints{asio::steady_timer{with.loop}}
{
}

void configuration_follower::start()
{
    read_control();
    read_endpoints();
}

void configuration_follower::read_control()
{
    m_with.source.read_control(
        [this, asked_at = boot_clock::now()](result<control_reading> answer) {
            on_answer(subject::control, std::move(answer), asked_at);
        });
}

void configuration_follower::read_endpoints()
{
    m_with.source.read_endpoints(
        [this, asked_at = boot_clock::now()](result<endpoints_reading> answer) {
            on_answer(subject::endpoints, std::move(answer), asked_at);
        });
}

template <typename Reading>
void configuration_follower::on_answer(subject what, result<Reading> answer, time_point asked_at)
{
    const error* failure = std::get_if<error>(&answer);
    note(what, failure);
    if (failure == nullptr) {
        take(std::get<Reading>(std::move(answer)), asked_at);
        wait(what, m_options.interval);
        return;
    }
    if (what == subject::endpoints) {
        m_with.state.on_endpoints_failure();
    }
    ask_host();
    wait(what, m_options.retry);
}

void configuration_follower::take(control_reading reading, time_point current_at)
{
    const state_change change = m_with.state.apply(std::move(reading), current_at);
    if (!change.is_newer) {
        return;
    }
    const control_reading& held = m_with.state.control();
    log_line line{"configuration"};
    line.add("version",
             static_cast<std::int64_t>(held.published == nullptr ? 0 : held.published->version))
        .add("revision", static_cast<std::int64_t>(held.revision));
    for (const std::string& failure_domain : held.evacuated_domains) {
        line.add("evacuated", failure_domain);
    }
    m_with.log.write(line);
    m_on_change();
}

void configuration_follower::take(endpoints_reading reading, time_point current_at)
{
    const std::size_t unusable = reading.unusable;
    const auto before = m_with.state.endpoints().size();
    const state_change change =
        m_with.state.apply(std::move(reading), current_at, boot_clock::now());
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

void configuration_follower::note(subject what, const error* failure)
{
    const char* name = what == subject::control ? "control" : "endpoints";
    const bool was_lost = std::exchange(loop_of(what).is_lost, failure != nullptr);
    if (failure != nullptr) {
        m_with.metrics.count("source_failure");
    }
    if (was_lost == (failure != nullptr)) {
        return;
    }
    log_line line{failure != nullptr ? "source_lost" : "source_regained"};
    line.add("reading", name).add_ms("control_age_ms", m_with.state.control_age(boot_clock::now()));
    if (failure != nullptr) {
        line.add("error", failure->to_string());
    }
    m_with.log.write(line);
}

void configuration_follower::wait(subject what, duration span)
{
    asio::steady_timer& timer = loop_of(what).timer;
    timer.expires_after(span);
    timer.async_wait([this, what](const asio::error_code& failure) {
        if (failure) {
            return;
        }
        if (what == subject::control) {
            read_control();
        }
        else {
            read_endpoints();
        }
    });
}

void configuration_follower::ask_host()
{
    const time_point now = boot_clock::now();
    const auto hosts = m_with.members.live(now);
    if (m_is_asking || hosts.empty() || m_with.state.control_age(now) < m_options.relay_age) {
        return;
    }
    // hosts in turn, those without a fresher configuration left out
    const member* chosen = nullptr;
    for (std::size_t tried = 0; tried < hosts.size() && chosen == nullptr; ++tried) {
        const member* candidate = hosts[m_asked++ % hosts.size()];
        const duration age = candidate->last.control_age + (now - candidate->heard);
        if (candidate->last.has_configuration && age < m_with.state.control_age(now)) {
            chosen = candidate;
        }
    }
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
    m_with.metrics.count("relay");
    auto control = m_with.source.decode_control(relayed->control);
    if (auto* reading = std::get_if<control_reading>(&control)) {
        take(std::move(*reading), asked_at - relayed->control_age);
    }
    auto endpoints = m_with.source.decode_endpoints(relayed->endpoints);
    if (auto* reading = std::get_if<endpoints_reading>(&endpoints)) {
        take(std::move(*reading), asked_at - relayed->endpoints_age);
    }
}

std::string configuration_follower::relay_text() const
{
    const time_point now = boot_clock::now();
    const published_state& state = m_with.state;
    return encode(relayed_state{state.control().text, state.last_endpoints().text,
                                state.control_age(now), state.endpoints_age(now)});
}

} // namespace hickorykeel::gateway
