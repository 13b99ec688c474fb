#include "gateway/serving/exchange.h"

#include <optional> // optional

#include <fmt/format.h> // format

namespace hickorykeel::gateway {

// final responses

/// Ends the request without a response of an endpoint. Without `retry_after`, the response names
/// the time at which room for the request is expected.
void exchange::give_up(std::string_view code, std::optional<duration> retry_after)
{
    if (m_attempt_count.executions() > 0) {
        refuse(code == "deadline" ? 504 : 502, code, "unknown", {});
        return;
    }
    if (m_has_waited) {
        m_context.metrics.count("request_waited_and_refused");
    }
    if (!retry_after) {
        retry_after = next_return_delay();
    }
    refuse(503, code, "no", *retry_after);
}

/// Returns the delay for a caller that is refused because there is no room: its place in the
/// schedule of the service, or, if the rate at which room becomes free isn't known, a delay that
/// grows with the time for which the service has been refusing requests.
duration exchange::next_return_delay()
{
    const time_point now = boot_clock::now();
    const double random = random_fraction(m_context.random);
    const duration fallback =
        m_context.overload_periods[m_service].on_refusal(m_context.options.overload, now, random);
    // a forwarded request is answered by the forwarding host, with a delay of its own
    const bool reaches_caller = !m_is_forwarded && !m_has_response_started;
    const auto rate = m_context.first_byte_rates[m_service].per_s(now);
    if (!reaches_caller || !rate) {
        if (reaches_caller) {
            m_context.metrics.count("return_rate_unknown");
        }
        return fallback;
    }
    const duration interval = from_seconds(1 / *rate);
    const auto waiting = static_cast<double>(m_context.waiting_count(m_service));
    const return_time advised = m_context.return_schedules[m_service].advise(
        m_context.options.returns, {from_seconds((waiting + 1) / *rate), interval, time_left()},
        now, random);
    count_return(advised.kind);
    return advised.delay;
}

void exchange::count_return(return_kind kind)
{
    switch (kind) {
    case return_kind::in_turn:
        m_context.metrics.count("return_in_turn");
        break;
    case return_kind::early:
        m_context.metrics.count("return_early");
        break;
    case return_kind::too_late:
        m_context.metrics.count("return_too_late");
        break;
    }
}

/// Gives up a request that no endpoint can take before it has waited too long.
void exchange::give_up_without_endpoint(const service& of)
{
    // a caller's next request may use the endpoints that rejected this one
    const placement_request any{&of, nullptr, {}, m_software_version};
    const time_point now = boot_clock::now();
    std::optional<duration> turned_away =
        allows_own_region(m_authorised) ? m_context.pool.time_turned_away(any, now) : std::nullopt;
    if (turned_away) {
        if (const double per_s = m_context.pool.total_share(any); per_s > 0) {
            turned_away = m_context.return_schedules[m_service].next(*turned_away, per_s, now);
        }
        give_up("turned_away", turned_away);
        return;
    }
    give_up("no_endpoint", m_context.options.retry_after_outage);
}

header_list rejection_fields(const std::string& request_id, std::string_view code)
{
    header_list headers;
    headers.add(std::string{refusal_header}, std::string{code});
    if (!request_id.empty()) {
        headers.add(std::string{refused_id_header}, request_id);
    }
    headers.add(std::string{ran_header}, "no");
    headers.add(std::string{reached_header}, "no");
    return headers;
}

void exchange::refuse(int status, std::string_view code, std::string_view ran, duration retry_after)
{
    if (m_has_response_started) {
        // a response has started: closing the connection is the only way to report the failure
        m_context.log.write_request(
            log_line{"request_broken_off"}.add("id", m_fields.id).add("reason", code));
        m_caller->abort_response();
        finish("broken_off", 0);
        return;
    }
    header_list headers;
    headers.add("Content-Type", "application/json");
    if (retry_after > duration{0}) {
        headers.add("Retry-After", fmt::format("{:.3f}", to_seconds(retry_after)));
    }
    if (m_is_forwarded) {
        headers.add(std::string{refusal_header}, std::string{code});
        headers.add(std::string{refused_id_header}, m_fields.id);
        headers.add(std::string{ran_header}, std::string{ran});
        headers.add(std::string{reached_header}, m_has_reached_endpoint ? "yes" : "no");
        if (m_broken_off) {
            headers.add(std::string{broken_off_header},
                        fmt::format("{}/{}", m_broken_off->endpoint, m_broken_off->incarnation));
        }
    }
    m_caller->respond(status, headers, fmt::format(R"({{"error":"{}","ran":"{}"}})", code, ran));
    finish(code, status);
}

void exchange::end_for_shutdown()
{
    if (m_stage == stage::done) {
        return;
    }
    if (m_stage != stage::waiting) {
        abandon_attempt(endpoint_outcome::abandoned);
    }
    give_up("stopping", m_context.options.retry_after_stop);
}

void exchange::finish(std::string_view outcome, int status)
{
    m_stage = stage::done;
    m_timer.cancel();
    if (m_attempt_count.executions() == 0 && m_charged_units > 0 && outcome != "answered" &&
        outcome != "endpoint_failed" && outcome != "caller_gone") {
        m_context.usage.refund(m_authorised.organisation, m_charged_units);
    }
    const duration elapsed = boot_clock::now() - m_received;
    const std::string name =
        m_authorised.matched_route == nullptr ? std::string{} : m_authorised.matched_route->name;
    m_context.metrics.on_response(name, std::string{outcome}, elapsed);
    log_line line{"request_end"};
    line.add("id", m_fields.id)
        .add("route", name)
        .add("organisation", m_authorised.organisation)
        .add_number("units", m_charged_units)
        .add("outcome", outcome)
        .add("status", std::int64_t{status})
        .add("tries", std::int64_t{m_attempt_count.attempts()})
        .add("ran", m_attempt_count.executions() > 0 || outcome == "answered" ? "unknown" : "no")
        .add_ms("elapsed_ms", elapsed)
        .add("peer", peer_name())
        .add("connection", static_cast<std::int64_t>(m_attempt.connection))
        .add("connection_calls", static_cast<std::int64_t>(m_attempt.connection_calls))
        .add_ms("expected_ms", m_attempt.expected)
        .add_ms("connect_ms", connect_time())
        .add_ms("first_byte_ms", m_attempt.first_byte)
        .add_ms("longest_pause_ms", m_max_event_gap)
        .add("events", static_cast<std::int64_t>(m_events.events()))
        .add_ms("configuration_age_ms", m_context.state.age(boot_clock::now()));
    if (m_is_forwarded) {
        line.add("passed_on_by", m_caller->head().headers.find(forwarded_header));
    }
    m_context.log.write_request(line);
}

void exchange::on_disconnect()
{
    if (m_stage == stage::done) {
        return;
    }
    const bool was_sent = m_attempt.is_sent;
    if (m_attempt.call != nullptr) {
        m_attempt.call->cancel();
        end_attempt(endpoint_outcome::abandoned);
    }
    if (was_sent) {
        m_attempt_count.on_execution();
    }
    finish("caller_gone", 0);
}

} // namespace hickorykeel::gateway
