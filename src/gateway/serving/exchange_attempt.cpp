#include "gateway/serving/exchange.h"

#include "gateway/routing/rendezvous.h"
#include "gateway/serving/endpoint_statements.h"

#include <algorithm> // max
#include <cstddef>   // size_t
#include <cstdint>   // SIZE_MAX, uint32_t
#include <optional>  // nullopt, optional
#include <utility>   // exchange, move

namespace hickorykeel::gateway {

namespace {

constexpr int min_failure_status = 500;
constexpr int status_misdirected = 421;

bool is_success(int status) noexcept
{
    return status >= 200 && status < 300;
}

/// Whether the body may be a stream of events. Endpoints may leave the content type out.
bool may_carry_events(const message_head& head) noexcept
{
    const std::string_view type = head.headers.find("Content-Type");
    const std::string_view essence = type.substr(0, type.find_first_of("; "));
    return type.empty() || is_same_name(essence, "text/event-stream");
}

/// Whether the body has no end of its own, so that a lost connection looks like its end.
bool ends_with_connection(const message_head& head) noexcept
{
    return !head.headers.contains("Content-Length") && !head.headers.contains("Transfer-Encoding");
}

std::string_view ran_name(bool may_have_run) noexcept
{
    return may_have_run ? "unknown" : "no";
}

} // namespace

// course of an attempt

call_handlers exchange::handlers()
{
    // the handlers keep the exchange alive until the call ends
    const auto self = shared_from_this();
    return {.on_sent = [self] { self->on_sent(); },
            .on_head = [self](const message_head& head) { self->on_head(head); },
            .on_body = [self](std::string& bytes) { self->on_body(bytes); },
            .on_end = [self](call_end end) { self->on_end(end); }};
}

void exchange::on_sent()
{
    m_attempt.is_sent = true;
    m_has_reached_endpoint = m_has_reached_endpoint || !m_attempt.endpoint.empty();
    m_attempt.sent_at = boot_clock::now();
    m_last_progress = m_attempt.sent_at;
    m_next_move_check = {};
    note_connection();
    arm();
}

/// Reports a new connection to an endpoint to the path monitor.
void exchange::note_connection()
{
    if (!m_attempt.endpoint.empty() && m_attempt.connection_calls == 1) {
        m_context.path.on_connected();
    }
}

/// Reports to the path monitor that the connection to an endpoint has ended.
void exchange::note_disconnection()
{
    if (!m_attempt.endpoint.empty()) {
        m_context.path.on_disconnected(boot_clock::now());
        m_context.check_path();
    }
}

/// Reports to the path monitor that no connection to the endpoint could be opened.
void exchange::note_no_connection()
{
    m_context.path.on_not_connected(m_attempt.endpoint, m_context.pool.listed(), boot_clock::now());
    m_context.check_path();
}

/// Returns the time from the choice of the peer until the request was sent; 0 if it wasn't.
duration exchange::connect_time() const noexcept
{
    return m_attempt.is_sent ? m_attempt.sent_at - m_attempt.placed_at : duration{0};
}

bool exchange::is_stream() const noexcept
{
    return m_authorised.matched_route->kind == request_kind::streaming;
}

const std::string& exchange::peer_name() const noexcept
{
    return m_attempt.endpoint.empty() ? m_attempt.peer : m_attempt.endpoint;
}

bool exchange::is_genuine(const message_head& head) const
{
    const response_fields fields = m_context.adapter.read_response_fields(head);
    return fields.id == m_fields.id && !fields.is_encoded &&
           (!is_success(head.status) || fields.has_seal);
}

/// Whether the events of a response may be relayed: at the start of a stream, or as its rest.
bool exchange::is_relayable_stream(const message_head& head) const
{
    const bool is_of_version =
        !m_software_version || m_software_version == m_attempt.software_version;
    return is_stream() && is_success(head.status) && is_genuine(head) && may_carry_events(head) &&
           is_of_version && (!m_has_response_started || head.status == m_started_status);
}

/// Returns why a complete response with success doesn't end the stream; empty if it does.
std::string_view exchange::stream_fault() const
{
    if (!is_relayable_stream(m_attempt.head)) {
        return m_has_response_started ? "resumption_failed" : "no_event_stream";
    }
    if (m_events.has_partial()) {
        return "event_incomplete";
    }
    const bool may_be_cut = m_has_response_started && !m_attempt.has_relayed;
    return may_be_cut && ends_with_connection(m_attempt.head) ? "resumption_empty" : "";
}

void exchange::on_head(const message_head& head)
{
    const duration elapsed = boot_clock::now() - m_attempt.sent_at;
    m_attempt.has_head = true;
    m_attempt.head = head;
    m_attempt.first_byte = elapsed;
    if (m_attempt.endpoint.empty()) {
        m_attempt.software_version = parse_hash(head.headers.find(software_version_header));
    }
    // another request's response may be a late copy, which says nothing of the present
    const bool is_own = m_context.adapter.read_response_fields(head).id == m_fields.id;
    if (is_own) {
        record_endpoint_statement();
    }
    if (is_own && !m_attempt.endpoint.empty() && is_success(head.status)) {
        m_context.pool.on_first_byte(attempted_endpoint(),
                                     std::exchange(m_attempt.waiting_tokens, 0), elapsed,
                                     m_attempt.expected, m_attempt.conditions, boot_clock::now());
        m_context.metrics.on_first_byte(elapsed, m_attempt.expected);
    }
    if (is_own && is_success(head.status) && !m_has_response_started) {
        m_context.first_byte_rates[m_service].on_first_byte(boot_clock::now());
    }
    m_last_progress = boot_clock::now();
    m_attempt.last_received = m_last_progress;
    if (!m_attempt.endpoint.empty()) {
        m_context.path.on_received(m_last_progress);
    }
    arm();
}

/// Returns the incarnation that was chosen for the attempt. Precondition: the attempt is at an
/// endpoint.
endpoint_incarnation exchange::attempted_endpoint() const
{
    return {m_attempt.endpoint, m_attempt.endpoint_started_ms};
}

void exchange::record_endpoint_statement()
{
    if (!m_attempt.endpoint.empty()) {
        record_statement({m_context.adapter, m_context.pool, m_context.log, m_context.metrics},
                         attempted_endpoint(), m_attempt.head,
                         {m_attempt.sent_at, boot_clock::now()});
    }
}

/// Records that another incarnation responds at the endpoint's address.
void exchange::record_endpoint_end()
{
    const endpoint_incarnation endpoint = attempted_endpoint();
    if (m_context.pool.on_ended(endpoint, boot_clock::now())) {
        m_context.metrics.count("endpoint_ended");
        m_context.log.write(log_line{"endpoint_ended"}
                                .add("endpoint", endpoint.id)
                                .add("started_ms", endpoint.started_ms)
                                .add("evidence", "misdirected"));
    }
    else {
        m_context.metrics.count("request_to_ended_endpoint");
    }
}

void exchange::on_body(std::string& bytes)
{
    m_attempt.last_received = boot_clock::now();
    if (!m_attempt.endpoint.empty()) {
        m_context.path.on_received(m_attempt.last_received);
    }
    std::string taken = std::exchange(bytes, {});
    if (is_relayable_stream(m_attempt.head)) {
        relay(taken);
        return;
    }
    using append_result = body_buffer::append_result;
    const append_result appended = m_attempt.body.append(std::move(taken));
    if (appended != append_result::appended) {
        m_attempt.call->cancel();
        fail_attempt(
            {endpoint_outcome::malformed, true, true,
             appended == append_result::too_large ? "response_too_large" : "out_of_memory"});
    }
}

void exchange::start_relay()
{
    if (!std::exchange(m_has_response_started, true)) {
        m_stage = stage::relaying;
        m_started_status = m_attempt.head.status;
        header_list headers = m_context.adapter.to_caller_headers(m_attempt.head);
        if (m_is_forwarded && m_attempt.software_version) {
            headers.add(std::string{software_version_header},
                        std::to_string(*m_attempt.software_version));
        }
        m_caller->begin(m_attempt.head.status, headers);
    }
}

void exchange::relay(std::string_view bytes)
{
    const std::string events = m_events.take(bytes);
    if (!events.empty()) {
        const time_point now = boot_clock::now();
        if (m_has_response_started) {
            m_max_event_gap = std::max(m_max_event_gap, now - m_last_progress);
        }
        const bool is_first = !m_has_response_started;
        start_relay();
        m_software_version = m_attempt.software_version;
        if (is_first) {
            record_origin(now);
        }
        m_caller->send(events);
        m_attempt.call->set_max_read(is_memory_scarce() ? m_context.options.max_read_bytes_if_scarce
                                                        : SIZE_MAX);
        m_attempt.has_relayed = true;
        m_last_progress = now;
    }
    if (const std::string_view fault = event_fault(); !fault.empty()) {
        m_attempt.call->cancel();
        fail_attempt({endpoint_outcome::malformed, true, true, fault});
        return;
    }
    if (m_caller->unsent() > max_unsent_bytes()) {
        m_attempt.is_held_back = true;
        m_attempt.was_held_back = true;
        m_attempt.call->pause();
    }
}

/// Returns what is wrong with the last event received; empty if nothing is.
std::string_view exchange::event_fault() const
{
    if (m_events.is_malformed()) {
        return "event_malformed";
    }
    if (m_events.is_out_of_order()) {
        return "events_out_of_order";
    }
    if (m_events.is_too_large()) {
        return "event_too_large";
    }
    return m_events.is_out_of_memory() ? "out_of_memory" : "";
}

/// Returns how much is buffered for a slow caller before reading from the endpoint is paused.
std::size_t exchange::max_unsent_bytes() const
{
    return is_memory_scarce() ? m_context.options.max_unsent_bytes_if_scarce
                              : m_context.options.max_unsent_bytes;
}

bool exchange::is_memory_scarce() const
{
    return m_context.memory != nullptr && m_context.memory->is_scarce();
}

/// Continues to read an attempt that was held back for a slow caller.
void exchange::resume_reading()
{
    if (m_attempt.call != nullptr && std::exchange(m_attempt.is_held_back, false)) {
        m_attempt.last_received = boot_clock::now(); // it could not send meanwhile
        m_attempt.call->resume();
        arm();
    }
}

void exchange::on_end(call_end end)
{
    if (m_stage == stage::done) {
        return;
    }
    if (end == call_end::complete) {
        on_complete_response();
        return;
    }
    if (end == call_end::refused || end == call_end::not_connected ||
        end == call_end::not_accepted) {
        if (m_attempt.endpoint.empty()) {
            const std::string ip = m_attempt.peer.substr(0, m_attempt.peer.rfind(':'));
            m_context.unreachable_until[ip] =
                boot_clock::now() + m_context.options.unreachable_backoff;
        }
        else {
            note_no_connection();
        }
        const bool is_refused = end == call_end::refused;
        fail_attempt({is_refused ? endpoint_outcome::refused : endpoint_outcome::unreachable, false,
                      false, to_name(end)});
        return;
    }
    const bool is_invalid = end == call_end::malformed || end == call_end::out_of_memory;
    if (!is_invalid) {
        note_broken_off();
        note_disconnection();
    }
    fail_attempt({is_invalid ? endpoint_outcome::malformed : endpoint_outcome::cut, true, true,
                  to_name(end)});
}

/// Reports to the quarantine that an endpoint broke off the response, unless the endpoint had
/// announced its end.
void exchange::note_broken_off()
{
    if (!m_attempt.endpoint.empty() && !m_context.pool.is_stopping(attempted_endpoint())) {
        record_broken_off({short_hash(m_attempt.endpoint), short_hash(attempted_endpoint()),
                           fingerprint(), m_events.events() > 0});
    }
}

/// Reports the same for a request that another host has sent to an endpoint.
/// @param endpoint value of `broken_off_header`
void exchange::note_broken_off_elsewhere(std::string_view endpoint)
{
    const std::size_t separator = endpoint.find('/');
    const auto id = parse_hash(endpoint.substr(0, separator));
    const auto incarnation = separator == std::string_view::npos
                                 ? std::nullopt
                                 : parse_hash(endpoint.substr(separator + 1));
    if (id && incarnation) {
        record_broken_off({*id, *incarnation, fingerprint(), false});
    }
}

void exchange::record_broken_off(broken_response broken)
{
    m_context.quarantine.on_broken_off(broken, m_fields.shared_parts, boot_clock::now());
    m_broken_off = broken;
}

void exchange::note_answered()
{
    if (m_attempt.endpoint.empty()) {
        return;
    }
    m_context.quarantine.on_answered(m_fields.shared_parts, boot_clock::now());
    note_survived();
}

/// Reports to the quarantine that the endpoint has executed the request without a crash.
void exchange::note_survived()
{
    if (m_attempt.endpoint.empty()) {
        return;
    }
    const time_point now = boot_clock::now();
    m_context.quarantine.on_endpoint_answered(
        short_hash(m_attempt.endpoint), m_attempt.was_held_back ? now : m_attempt.sent_at, now);
    if (m_context.quarantine.has_request_suspects()) {
        m_context.quarantine.on_request_answered(fingerprint(), now);
    }
}

void exchange::on_complete_response()
{
    const message_head& head = m_attempt.head;
    const bool is_host = m_attempt.endpoint.empty();
    const response_fields fields = m_context.adapter.read_response_fields(head);
    const bool is_refusal_of_host = is_host && head.headers.contains(refusal_header);
    const std::string_view answered_id =
        is_refusal_of_host ? head.headers.find(refused_id_header) : std::string_view{fields.id};
    // a host that refuses a request before it has read its id closes the connection, so that the
    // refusal can't belong to an earlier request
    const bool is_refusal_without_id =
        is_refusal_of_host && answered_id.empty() && !head.keeps_alive;
    if (answered_id != m_fields.id && !is_refusal_without_id) {
        // the response to this request may follow on the connection
        m_attempt.call->cancel();
        fail_attempt({endpoint_outcome::malformed, true, true, "not_the_answer"});
    }
    else if (is_refusal_of_host) {
        on_refusal_of_host();
    }
    else if (!is_host && (fields.was_rejected || head.status == status_misdirected)) {
        on_rejection();
    }
    else if (!is_genuine(head)) {
        fail_attempt({endpoint_outcome::malformed, true, true, "not_the_answer"});
    }
    else {
        on_answer();
    }
}

void exchange::on_refusal_of_host()
{
    const header_list& headers = m_attempt.head.headers;
    const bool has_not_run = headers.find(ran_header) == "no";
    const bool has_reached = headers.find(reached_header) == "yes";
    m_has_reached_endpoint = m_has_reached_endpoint || has_reached;
    if (headers.contains(broken_off_header)) {
        note_broken_off_elsewhere(headers.find(broken_off_header));
    }
    // once an endpoint was reached, the next attempt counts as a retry, at whichever host
    fail_attempt({endpoint_outcome::shed, !has_not_run, !has_not_run || has_reached,
                  headers.find(refusal_header)});
}

void exchange::on_rejection()
{
    const bool is_misdirected = m_attempt.head.status == status_misdirected;
    if (is_misdirected) {
        record_endpoint_end();
    }
    fail_attempt({is_misdirected ? endpoint_outcome::gone : endpoint_outcome::shed, false, true,
                  is_misdirected ? "misdirected" : "rejected"});
}

/// Ends the request with the endpoint's own response, or retries it if that is a failure.
void exchange::on_answer()
{
    const message_head& head = m_attempt.head;
    const bool is_failure = head.status >= min_failure_status;
    const attempt_failure failure{endpoint_outcome::failed, true, true, "endpoint_failed"};
    if (is_failure && !m_has_response_started && may_retry(failure)) {
        fail_attempt(failure);
        return;
    }
    if (is_stream() && is_success(head.status)) {
        on_complete_stream();
        return;
    }
    if (m_has_response_started) {
        fail_attempt({endpoint_outcome::failed, true, true, "resumption_failed"});
        return;
    }
    if (is_success(head.status)) {
        note_answered();
    }
    else if (!is_failure) {
        note_survived();
    }
    end_attempt(is_failure ? endpoint_outcome::failed : endpoint_outcome::answered);
    m_caller->respond(head.status, m_context.adapter.to_caller_headers(head), m_attempt.body);
    finish(is_success(head.status) ? "answered" : "endpoint_failed", head.status);
}

void exchange::on_complete_stream()
{
    if (const std::string_view fault = stream_fault(); !fault.empty()) {
        if (m_events.has_partial()) {
            note_broken_off();
        }
        fail_attempt({endpoint_outcome::cut, true, true, fault});
        return;
    }
    if (m_events.events() > 0) {
        note_answered();
    }
    start_relay();
    end_attempt(endpoint_outcome::answered);
    m_caller->end();
    finish("answered", m_attempt.head.status);
}

void exchange::end_attempt(endpoint_outcome outcome)
{
    if (std::exchange(m_attempt.is_on_trial, false)) {
        m_context.quarantine.end_trial(m_fingerprint);
    }
    if (!m_attempt.endpoint.empty()) {
        const time_point now = boot_clock::now();
        m_context.pool.on_end(attempted_endpoint(), m_attempt.waiting_tokens, outcome, now,
                              m_attempt.is_sent ? now - m_attempt.sent_at : duration{0});
        m_context.check_endpoints();
    }
    m_attempt.call = nullptr;
    m_last_attempt_end = boot_clock::now();
    m_context.retry_waiting();
}

attempt_rule exchange::rule() const
{
    return to_attempt_rule(*m_authorised.matched_route, m_is_forwarded,
                           m_context.options.max_total_attempts);
}

bool exchange::may_retry(const attempt_failure& failure) const
{
    // whether another endpoint can continue a stream isn't known without the version that began it
    const bool can_continue = !m_has_response_started || m_software_version;
    return can_continue &&
           m_attempt_count.may_retry(rule(), {failure.may_have_run}, m_has_response_started) &&
           time_left() > m_context.options.min_time_left;
}

/// Whether the request is sent again after `failure`. A retry is taken out of the budget.
retry_decision exchange::decide_retry(const attempt_failure& failure)
{
    if (!may_retry(failure)) {
        return retry_decision::not_allowed;
    }
    if (failure.outcome == endpoint_outcome::shed && !m_has_response_started &&
        !m_attempt.endpoint.empty() && m_context.pool.is_brittle(attempted_endpoint())) {
        // the others have no more room, and may crash if they reject it as well
        m_context.metrics.count("retry_at_brittle_left_out");
        return retry_decision::not_allowed;
    }
    if (m_broken_off && !m_context.quarantine.may_retry(*m_broken_off, boot_clock::now())) {
        m_context.metrics.count("retry_of_suspect_left_out");
        return retry_decision::suspected;
    }
    if (failure.uses_retry_budget && !service_retry_budget().try_take()) {
        m_context.metrics.count("retry_budget_empty");
        return retry_decision::budget_empty;
    }
    return retry_decision::retried;
}

void exchange::fail_attempt(const attempt_failure& failure)
{
    const retry_decision decision = decide_retry(failure);
    end_failed_attempt(failure, decision);
    if (decision != retry_decision::retried) {
        give_up(failure.reason);
        return;
    }
    m_stage = stage::placing;
    place_again();
}

/// Records a failed attempt. The request has no attempt after that.
void exchange::end_failed_attempt(const attempt_failure& failure, retry_decision decision)
{
    const duration elapsed =
        m_attempt.is_sent ? boot_clock::now() - m_attempt.sent_at : boot_clock::now() - m_received;
    m_context.log.write_request(
        log_line{"request_try_failed"}
            .add("id", m_fields.id)
            .add("peer", peer_name())
            .add("connection", static_cast<std::int64_t>(m_attempt.connection))
            .add("connection_calls", static_cast<std::int64_t>(m_attempt.connection_calls))
            .add("outcome", to_name(failure.outcome))
            .add("reason", failure.reason)
            .add("status", std::int64_t{m_attempt.head.status})
            .add("ran", ran_name(failure.may_have_run))
            .add_ms("connect_ms", connect_time())
            .add_ms("after_ms", elapsed)
            .add("events", static_cast<std::int64_t>(m_events.events()))
            .add("retry", to_name(decision)));
    m_context.metrics.count("try_" + std::string{to_name(failure.outcome)});
    // an endpoint that responds with a failure may succeed on the next attempt
    if (!m_attempt.endpoint.empty() && failure.outcome != endpoint_outcome::failed) {
        m_excluded.push_back(m_attempt.endpoint);
    }
    if (failure.may_have_run) {
        m_attempt_count.on_execution();
    }
    end_attempt(failure.outcome);
    m_attempt.body = {};
    m_events.discard_partial();
}

} // namespace hickorykeel::gateway
