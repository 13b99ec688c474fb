#include "gateway/serving/exchange.h"

#include <algorithm> // max, min
#include <chrono>    // milliseconds
#include <optional>  // nullopt, optional
#include <string>    // string
#include <utility>   // move
#include <variant>   // get_if
#include <vector>    // vector

// What an exchange does when time passes: deadlines, and attempts whose endpoint is silent.

namespace hickorykeel::gateway {

std::optional<time_point> exchange::inactivity_deadline() const
{
    if (!m_attempt.is_sent || m_attempt.is_held_back ||
        !m_authorised.matched_route->is_repeatable() ||
        m_attempt_count.executions() + 1 >= rule().max_executions) {
        return std::nullopt;
    }
    const serving_options& options = m_context.options;
    duration inactivity_timeout = options.min_inactivity_timeout;
    if (!m_has_response_started) {
        inactivity_timeout =
            std::max(inactivity_timeout,
                     from_seconds(to_seconds(m_attempt.expected) * options.inactivity_factor));
    }
    return std::max(std::max(m_attempt.last_received, m_attempt.sent_at) + inactivity_timeout,
                    m_next_move_check);
}

/// Returns where the request could be sent now other than to the peer of the current attempt.
std::optional<exchange::destination> exchange::find_other_destination(const authorisation& allowed,
                                                                      time_point now) const
{
    const service* of = allowed.published->find_service(m_service);
    if (of == nullptr) {
        return std::nullopt;
    }
    std::vector<std::string> excluded = m_excluded;
    excluded.push_back(m_attempt.endpoint);
    const auto options = find_placements(allowed, *of, excluded, now);
    auto chosen = choose_destination(allowed, options, now);
    const bool is_same_host =
        chosen && chosen->host != nullptr && address_of(*chosen->host) == m_attempt.peer;
    return is_same_host ? std::nullopt : chosen;
}

/// Retries a silent attempt elsewhere if the request can be sent there now. Otherwise the attempt
/// goes on, since an endpoint that is silent may be sound.
void exchange::move_silent_attempt(time_point now)
{
    const attempt_failure failure{endpoint_outcome::timed_out, true, true, "silent"};
    authorisation_result checked = check_authorisation();
    auto* const allowed = std::get_if<authorisation>(&checked);
    const bool may_move = allowed != nullptr && may_retry(failure) && !request_refusal() &&
                          service_retry_budget().tokens() >= m_context.options.min_move_tokens;
    const auto chosen = may_move ? find_other_destination(*allowed, now) : std::nullopt;
    if (!chosen) {
        keep_silent_attempt(now);
        return;
    }
    m_attempt.call->cancel();
    m_authorised = std::move(*allowed);
    end_failed_attempt(failure, decide_retry(failure));
    send(*chosen);
}

void exchange::keep_silent_attempt(time_point now)
{
    const bool is_first_check = m_next_move_check == time_point{};
    m_next_move_check = now + m_context.options.move_check_interval;
    if (is_first_check) {
        m_context.metrics.count("silent_attempt_kept");
        m_context.log.write_request(log_line{"request_waits_for_silent_endpoint"}
                                        .add("id", m_fields.id)
                                        .add("peer", peer_name())
                                        .add_ms("silent_ms", now - m_last_progress));
    }
    arm();
}

void exchange::arm()
{
    time_point next = m_deadline;
    if (m_stage == stage::waiting) {
        next = std::min(next, wait_deadline());
    }
    else if (const auto limit = inactivity_deadline()) {
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

/// Cancels the current attempt, whose request the endpoint may go on executing.
void exchange::abandon_attempt(endpoint_outcome outcome)
{
    if (m_attempt.call != nullptr) {
        m_attempt.call->cancel();
    }
    if (m_attempt.is_sent) {
        m_attempt_count.on_execution();
    }
    end_attempt(outcome);
}

void exchange::on_timer()
{
    const time_point now = boot_clock::now();
    if (m_stage == stage::done) {
        return;
    }
    if (m_stage == stage::waiting) {
        if (now >= std::min(wait_deadline(), m_deadline)) {
            retry_placement();
        }
        else {
            arm();
        }
        return;
    }
    if (now >= m_deadline) {
        abandon_attempt(m_attempt.is_sent ? endpoint_outcome::abandoned
                                          : endpoint_outcome::unreachable);
        give_up("deadline");
        return;
    }
    const auto limit = inactivity_deadline();
    if (limit && now >= *limit) {
        move_silent_attempt(now);
        return;
    }
    arm();
}

} // namespace hickorykeel::gateway
