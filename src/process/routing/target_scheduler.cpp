#include "process/routing/target_scheduler.h"

#include <algorithm> // max
#include <utility>   // move
#include <variant>   // get_if

namespace hickorykeel {

target_scheduler::target_scheduler(std::unique_ptr<endpoint_policy> policy, std::uint64_t seed)
    : m_policy{std::move(policy)}, m_random{seed}
{
}

void target_scheduler::assign(std::span<const endpoint> endpoints, time_point now)
{
    m_table.assign(endpoints, now);
}

void target_scheduler::set_live_hosts(std::size_t count, time_point now)
{
    m_table.set_live_hosts(count, now);
}

void target_scheduler::on_report(std::size_t endpoint, const load_report& report, time_point now)
{
    m_table.on_report(endpoint, report, now);
}

std::optional<duration> target_scheduler::check_expected_wait(const scheduled_request& request,
                                                              time_point now)
{
    m_budget.on_request();
    const duration wait = service_time(
        m_queue.tokens_ahead(request.queued.organisation, request.queued.is_interactive));
    if (would_miss_deadline(wait, now, request.response_deadline)) {
        return wait;
    }
    return std::nullopt;
}

push_outcome target_scheduler::push(scheduled_request request, time_point now)
{
    const push_outcome outcome = m_queue.push(request.queued, now);
    if (outcome == push_outcome::queued) {
        const std::uint64_t id = request.queued.id;
        m_waiting.insert_or_assign(id, std::move(request));
    }
    return outcome;
}

bool target_scheduler::remove(std::uint64_t id)
{
    m_waiting.erase(id);
    return m_queue.remove(id);
}

schedule_result target_scheduler::schedule(time_point now)
{
    schedule_result result;
    start_ready(result, now);
    take_expired(result, now);
    return result;
}

schedule_result target_scheduler::tick(time_point now)
{
    schedule_result result;
    m_table.refresh(now);
    take_expired(result, now);
    start_ready(result, now);
    take_unservable(result, now);
    take_expired(result, now);
    return result;
}

void target_scheduler::start_ready(schedule_result& result, time_point now)
{
    while (!m_table.with_free_slot().empty() && start_next(m_queue.pop(now), result, now)) {}
    // an endpoint that the next request does not use may suit the other class
    for (const bool is_interactive : {true, false}) {
        while (!m_table.with_free_slot().empty() &&
               start_next(m_queue.pop_class(is_interactive, now), result, now)) {}
    }
}

bool target_scheduler::start_next(const std::optional<queued_request>& next,
                                  schedule_result& result, time_point now)
{
    if (!next) {
        return false;
    }
    const auto found = m_waiting.find(next->id);
    const endpoint_choice choice = choose_endpoint(found->second, choice_pool::with_free_slot, now);
    if (const auto* index = std::get_if<std::size_t>(&choice)) {
        m_waiting.erase(found);
        m_table.on_dispatch(*index, now);
        result.started.push_back({next->id, *index});
        return true;
    }
    if (std::get<no_endpoint_reason>(choice) == no_endpoint_reason::none_with_free_slot) {
        m_queue.requeue(*next);
        return false;
    }
    // left in the queue, it would block the others of its class
    m_waiting.erase(found);
    result.unservable.push_back(next->id);
    return true;
}

void target_scheduler::take_expired(schedule_result& result, time_point now)
{
    for (const queued_request& expired : m_queue.take_expired(now)) {
        m_waiting.erase(expired.id);
        result.expired.push_back(expired.id);
    }
}

// waiting is of no use without a live endpoint
void target_scheduler::take_unservable(schedule_result& result, time_point now)
{
    if (m_table.live_count() > 0) {
        return;
    }
    while (const auto next = m_queue.pop(now)) {
        m_waiting.erase(next->id);
        result.unservable.push_back(next->id);
    }
}

endpoint_choice target_scheduler::choose_endpoint(const scheduled_request& request,
                                                  choice_pool pool, time_point now)
{
    request_view view;
    view.prefix_hash = request.prefix_hash;
    view.tokens = request.queued.tokens;
    view.is_interactive = request.queued.is_interactive;
    view.is_idempotent = request.is_idempotent;
    view.seconds_left = to_seconds(request.response_deadline - now);
    view.expected_wait = std::max(to_seconds(expected_wait(view.is_interactive)),
                                  m_table.typical_wait_seconds(request.excluded));
    view.excluded = request.excluded;
    return choose(view, m_table, *m_policy, m_random, pool);
}

void target_scheduler::on_dispatch(std::size_t endpoint, time_point now)
{
    m_table.on_dispatch(endpoint, now);
}

void target_scheduler::on_first_token(std::size_t endpoint, duration elapsed, std::uint64_t tokens,
                                      time_point now)
{
    m_table.on_first_token(endpoint, elapsed, tokens, now);
}

void target_scheduler::on_success(std::size_t endpoint, duration elapsed, std::uint64_t tokens,
                                  time_point now)
{
    m_table.on_success(endpoint, elapsed, tokens, now);
}

void target_scheduler::on_failure(std::size_t endpoint, time_point now)
{
    m_table.on_failure(endpoint, now, m_random);
}

void target_scheduler::on_cancelled(std::size_t endpoint, time_point now)
{
    m_table.on_cancelled(endpoint, now);
}

void target_scheduler::settle(const queued_request& served, std::uint64_t used_tokens)
{
    m_queue.settle(served, used_tokens);
}

duration target_scheduler::expected_wait(bool is_interactive) const
{
    return service_time(m_queue.backlog_tokens(is_interactive));
}

duration target_scheduler::service_time(std::uint64_t tokens) const
{
    const double rate = m_table.tokens_per_second();
    return rate > 0 ? from_seconds(static_cast<double>(tokens) / rate) : duration::zero();
}

} // namespace hickorykeel
