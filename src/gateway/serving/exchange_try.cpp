#include "gateway/serving/exchange.h"

#include <algorithm> // max
#include <utility>   // exchange

namespace hickorykeel::gateway {

namespace {

constexpr int first_failure_status = 500;
constexpr int status_misdirected = 421;

bool is_success(int status) noexcept
{
    return status >= 200 && status < 300;
}

std::string_view ran_name(bool may_have_run) noexcept
{
    return may_have_run ? "unknown" : "no";
}

} // namespace

// course of a try

call_handlers exchange::handlers()
{
    // the call holds the request until its end
    const auto self = shared_from_this();
    return {.on_sent = [self] { self->on_sent(); },
            .on_head = [self](const message_head& head) { self->on_head(head); },
            .on_body = [self](std::string& bytes) { self->on_body(bytes); },
            .on_end = [self](call_end end) { self->on_end(end); }};
}

void exchange::on_sent()
{
    m_try.is_sent = true;
    m_try.sent_at = boot_clock::now();
    m_last_event = m_try.sent_at;
    arm();
}

bool exchange::is_stream() const noexcept
{
    return m_route->kind == request_kind::streaming;
}

bool exchange::is_genuine(const message_head& head) const
{
    const response_fields answer = m_context.adapter.read_response_fields(head);
    return answer.id == m_fields.id && !answer.is_encoded &&
           (!is_success(head.status) || answer.has_seal);
}

void exchange::on_head(const message_head& head)
{
    const duration elapsed = boot_clock::now() - m_try.sent_at;
    m_try.has_head = true;
    m_try.head = head;
    m_try.first_byte = elapsed;
    if (!m_try.endpoint.empty() && is_success(head.status)) {
        m_context.pool.on_first_byte(m_try.endpoint, std::exchange(m_try.waiting_tokens, 0),
                                     elapsed, m_try.expected);
        m_context.metrics.on_first_byte(elapsed);
    }
    m_last_event = boot_clock::now();
    arm();
}

void exchange::on_body(std::string& bytes)
{
    const std::string taken = std::exchange(bytes, {});
    const bool is_relayed = is_stream() && is_success(m_try.head.status) && is_genuine(m_try.head);
    if (!is_relayed) {
        m_try.body += taken;
        return;
    }
    relay(taken);
}

void exchange::begin_relay()
{
    if (!std::exchange(m_began_answer, true)) {
        m_stage = stage::relaying;
        m_caller->begin(m_try.head.status, m_context.adapter.to_caller_headers(m_try.head));
    }
}

void exchange::relay(std::string_view bytes)
{
    const std::string events = m_events.take(bytes);
    if (m_events.is_out_of_order()) {
        m_try.call->cancel();
        fail_try({endpoint_outcome::cut, true, true, "events_out_of_order"});
        return;
    }
    if (events.empty()) {
        return;
    }
    const time_point now = boot_clock::now();
    if (m_began_answer) {
        m_longest_pause = std::max(m_longest_pause, now - m_last_event);
    }
    begin_relay();
    m_caller->send(events);
    m_last_event = now;
    if (m_caller->unsent() > m_context.options.most_unsent) {
        m_try.call->pause();
    }
}

void exchange::on_end(call_end end)
{
    if (m_stage == stage::done) {
        return;
    }
    if (end == call_end::complete) {
        on_whole_answer();
        return;
    }
    if (end == call_end::not_connected) {
        if (m_try.endpoint.empty()) {
            const std::string ip = m_try.peer.substr(0, m_try.peer.rfind(':'));
            m_context.unreachable[ip] = boot_clock::now() + m_context.options.unreachable_block;
        }
        fail_try({endpoint_outcome::unreachable, false, false, to_name(end)});
        return;
    }
    fail_try({endpoint_outcome::cut, true, true, to_name(end)});
}

void exchange::on_whole_answer()
{
    const message_head& head = m_try.head;
    const bool is_host = m_try.endpoint.empty();
    if (is_host && head.headers.contains(refusal_header)) {
        const bool has_not_run = head.headers.find(ran_header) == "no";
        fail_try({endpoint_outcome::shed, !has_not_run, !has_not_run,
                  head.headers.find(refusal_header)});
        return;
    }
    const response_fields answer = m_context.adapter.read_response_fields(head);
    if (!is_host && (answer.was_rejected || head.status == status_misdirected)) {
        const bool is_gone = head.status == status_misdirected;
        fail_try({is_gone ? endpoint_outcome::gone : endpoint_outcome::shed, false, true,
                  is_gone ? "misdirected" : "rejected"});
        return;
    }
    if (!is_genuine(head)) {
        fail_try({endpoint_outcome::cut, true, true, "not_the_answer"});
        return;
    }
    if (head.status >= first_failure_status) {
        const try_failure failure{endpoint_outcome::failed, true, true, "endpoint_failed"};
        if (!m_began_answer && may_try_again(failure)) {
            fail_try(failure);
            return;
        }
    }
    if (is_stream() && is_success(head.status)) {
        if (m_events.has_partial()) {
            fail_try({endpoint_outcome::cut, true, true, "event_incomplete"});
            return;
        }
        begin_relay();
        end_try(endpoint_outcome::answered);
        m_caller->end();
        finish("answered", head.status);
        return;
    }
    if (m_began_answer) {
        fail_try({endpoint_outcome::failed, true, true, "resumption_failed"});
        return;
    }
    end_try(head.status >= first_failure_status ? endpoint_outcome::failed
                                                : endpoint_outcome::answered);
    m_caller->respond(head.status, m_context.adapter.to_caller_headers(head), m_try.body);
    finish(is_success(head.status) ? "answered" : "endpoint_failed", head.status);
}

void exchange::end_try(endpoint_outcome outcome)
{
    if (!m_try.endpoint.empty()) {
        m_context.pool.on_end(m_try.endpoint, m_try.waiting_tokens, outcome, boot_clock::now());
    }
    m_try.call = nullptr;
    m_context.wake();
}

attempt_rule exchange::rule() const
{
    return to_attempt_rule(*m_route, m_is_forwarded, m_context.options.most_tries);
}

bool exchange::may_try_again(const try_failure& failure) const
{
    return m_attempts.may_try_again(rule(), {failure.may_have_run}, m_began_answer) &&
           time_left() > m_context.options.least_time_left;
}

void exchange::fail_try(const try_failure& failure)
{
    const duration elapsed =
        m_try.is_sent ? boot_clock::now() - m_try.sent_at : boot_clock::now() - m_received;
    m_context.log.write_request(
        log_line{"request_try_failed"}
            .add("id", m_fields.id)
            .add("peer", m_try.endpoint.empty() ? m_try.peer : m_try.endpoint)
            .add("outcome", to_name(failure.outcome))
            .add("reason", failure.reason)
            .add("status", std::int64_t{m_try.head.status})
            .add("ran", ran_name(failure.may_have_run))
            .add_ms("after_ms", elapsed)
            .add("events", static_cast<std::int64_t>(m_events.events())));
    m_context.metrics.count("try_" + std::string{to_name(failure.outcome)});
    bool again = may_try_again(failure);
    if (again && failure.has_arrived) {
        again = retries().try_take();
        if (!again) {
            m_context.metrics.count("retry_budget_empty");
        }
    }
    // an endpoint that answers, if with a failure, may well answer the next time
    if (!m_try.endpoint.empty() && failure.outcome != endpoint_outcome::failed) {
        m_excluded.push_back(m_try.endpoint);
    }
    if (failure.may_have_run) {
        m_attempts.on_run();
    }
    end_try(failure.outcome);
    m_events.drop_partial();
    if (!again) {
        give_up(failure.reason);
        return;
    }
    m_stage = stage::placing;
    place_again();
}

// time

std::optional<time_point> exchange::silence_limit() const
{
    if (!m_try.is_sent || !m_route->is_repeatable() || m_attempts.runs() + 1 >= rule().max_runs) {
        return std::nullopt;
    }
    const serving_options& options = m_context.options;
    duration patience = options.least_silence;
    if (!m_began_answer) {
        patience =
            std::max(patience, from_seconds(to_seconds(m_try.expected) * options.silence_factor));
    }
    return std::max(m_last_event, m_try.sent_at) + patience;
}

void exchange::arm()
{
    time_point next = m_deadline;
    if (m_stage == stage::waiting) {
        next = std::min(next, waits_until());
    }
    else if (const auto limit = silence_limit()) {
        next = std::min(next, *limit);
    }
    m_timer.expires_after(
        std::max<duration>(next - boot_clock::now(), std::chrono::milliseconds{1}));
    m_timer.async_wait([weak = weak_from_this()](const asio::error_code& failure) {
        if (const auto self = weak.lock(); !failure && self != nullptr) {
            self->on_timer();
        }
    });
}

void exchange::on_timer()
{
    const time_point now = boot_clock::now();
    if (m_stage == stage::done) {
        return;
    }
    if (m_stage == stage::waiting) {
        if (now >= std::min(waits_until(), m_deadline)) {
            retry_placement();
        }
        else {
            arm();
        }
        return;
    }
    if (m_try.call != nullptr && m_caller->unsent() <= m_context.options.most_unsent) {
        m_try.call->resume();
    }
    if (now >= m_deadline) {
        const bool may_have_run = m_try.is_sent;
        if (m_try.call != nullptr) {
            m_try.call->cancel();
        }
        if (may_have_run) {
            m_attempts.on_run();
        }
        end_try(may_have_run ? endpoint_outcome::abandoned : endpoint_outcome::unreachable);
        give_up("deadline");
        return;
    }
    const auto limit = silence_limit();
    if (limit && now >= *limit) {
        m_try.call->cancel();
        fail_try({endpoint_outcome::timed_out, true, true, "silent"});
        return;
    }
    arm();
}

} // namespace hickorykeel::gateway
