#include "process/routing/request_queue.h"

#include <algorithm> // max, min
#include <cassert>   // assert
#include <cmath>     // exp
#include <utility>   // move, exchange

namespace hickorykeel {

namespace {

/// Number of idle organisations, beyond the number of waiting ones, above which idle ones are
/// erased; the same for entries of recent usage beyond twice the number of waiting requests.
constexpr std::size_t max_idle_organisations = 64;

} // namespace

request_queue::request_queue(request_queue_settings settings) : m_settings{settings} {}

push_outcome request_queue::push(queued_request request, time_point now)
{
    if (m_positions.contains(request.id)) {
        return push_outcome::duplicate;
    }
    if (request.deadline <= now) {
        return push_outcome::expired;
    }
    if (size() >= m_settings.capacity) {
        return push_outcome::queue_full;
    }
    if (size_of(request.organisation) >= m_settings.organisation_capacity) {
        return push_outcome::organisation_full;
    }
    request.tokens = std::max<std::uint64_t>(request.tokens, 1);
    insert(std::move(request), false);
    return push_outcome::queued;
}

std::optional<queued_request> request_queue::pop(time_point now)
{
    m_expired = take_expired(now);
    if (is_empty()) {
        return std::nullopt;
    }
    return pop_from(queue_of(!is_batch_next(now)), now);
}

std::optional<queued_request> request_queue::pop_class(bool is_interactive, time_point now)
{
    m_expired = take_expired(now);
    class_queue& queue = queue_of(is_interactive);
    if (queue.order.empty()) {
        return std::nullopt;
    }
    return pop_from(queue, now);
}

void request_queue::requeue(queued_request request)
{
    assert(!m_positions.contains(request.id));
    const auto tokens = static_cast<double>(request.tokens);
    charge(queue_of(request.is_interactive), request.organisation, -tokens);
    recent_usage& usage = m_recent_usage[request.organisation];
    usage.tokens = std::max(0.0, usage.tokens - tokens);
    if (request.is_interactive) {
        m_batch_credit = std::max(0.0, m_batch_credit - batch_credit_for(tokens));
    }
    else if (!queue_of(true).order.empty()) {
        m_batch_credit += tokens;
    }
    insert(std::move(request), true);
}

bool request_queue::remove(std::uint64_t id)
{
    const auto found = m_positions.find(id);
    if (found == m_positions.end()) {
        return false;
    }
    extract(position{found->second});
    return true;
}

std::vector<queued_request> request_queue::take_expired(time_point now)
{
    std::vector<queued_request> expired = std::exchange(m_expired, {});
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        expired.push_back(extract(position{m_positions.at(m_deadlines.begin()->second)}));
    }
    return expired;
}

void request_queue::settle(const queued_request& request, std::uint64_t used_tokens)
{
    charge(queue_of(request.is_interactive), request.organisation,
           static_cast<double>(used_tokens) - static_cast<double>(request.tokens));
}

std::size_t request_queue::size_of(const std::string& organisation) const
{
    std::size_t waiting = 0;
    for (const class_queue& queue : m_classes) {
        const auto found = queue.organisations.find(organisation);
        waiting += found == queue.organisations.end() ? 0 : found->second.waiting.size();
    }
    return waiting;
}

std::uint64_t request_queue::tokens_ahead(const std::string& organisation,
                                          bool is_interactive) const
{
    const class_queue& queue = queue_of(is_interactive);
    const auto found = queue.organisations.find(organisation);
    const std::uint64_t own = found == queue.organisations.end() ? 0 : found->second.tokens;
    const std::uint64_t others = queue.order.size() - (own > 0 ? 1 : 0);
    // a new organisation waits for about one request of each of the others
    const std::uint64_t mean = queue.tokens / std::max<std::size_t>(queue.size, 1);
    const std::uint64_t each = std::max(own, mean);
    return std::min(queue.tokens, own + others * each);
}

std::uint64_t request_queue::backlog_tokens(bool is_interactive) const
{
    const std::uint64_t before = is_interactive ? 0 : queue_of(true).tokens;
    return before + queue_of(is_interactive).tokens;
}

request_queue::class_queue& request_queue::queue_of(bool is_interactive)
{
    return m_classes[is_interactive ? 1 : 0];
}

const request_queue::class_queue& request_queue::queue_of(bool is_interactive) const
{
    return m_classes[is_interactive ? 1 : 0];
}

const queued_request& request_queue::head_of(const class_queue& queue) const
{
    return queue.organisations.at(queue.order.begin()->second).waiting.front();
}

bool request_queue::is_batch_next(time_point now) const
{
    const class_queue& interactive = queue_of(true);
    const class_queue& batch = queue_of(false);
    if (batch.order.empty() || interactive.order.empty()) {
        return interactive.order.empty();
    }
    return m_batch_credit >= static_cast<double>(head_of(batch).tokens) ||
           is_in_excess(head_of(interactive), head_of(batch), now);
}

bool request_queue::is_in_excess(const queued_request& interactive, const queued_request& batch,
                                 time_point now) const
{
    const double usage = recent_tokens_of(interactive.organisation, now) / interactive.weight;
    // include the batch request, so that one of an organisation without recent usage does not
    // precede all interactive requests
    const double other_tokens =
        recent_tokens_of(batch.organisation, now) + static_cast<double>(batch.tokens);
    return usage > m_settings.excess_factor * other_tokens / batch.weight;
}

double request_queue::recent_tokens_of(const std::string& organisation, time_point now) const
{
    const auto found = m_recent_usage.find(organisation);
    if (found == m_recent_usage.end()) {
        return 0;
    }
    const double age =
        to_seconds(now - found->second.time) / to_seconds(m_settings.usage_decay_time);
    return found->second.tokens * std::exp(-age);
}

void request_queue::record_usage(const std::string& organisation, double tokens, time_point now)
{
    const double before = recent_tokens_of(organisation, now);
    m_recent_usage[organisation] = {before + tokens, now};
    if (m_recent_usage.size() > max_idle_organisations + 2 * m_deadlines.size()) {
        std::erase_if(m_recent_usage, [this, now](const auto& item) {
            return now - item.second.time > 10 * m_settings.usage_decay_time;
        });
    }
}

queued_request request_queue::pop_from(class_queue& queue, time_point now)
{
    const position next = m_positions.at(head_of(queue).id);
    queued_request popped = extract(next);
    queue.counter_floor =
        std::max(queue.counter_floor, queue.organisations[popped.organisation].counter);
    charge(queue, popped.organisation, static_cast<double>(popped.tokens));
    record_usage(popped.organisation, static_cast<double>(popped.tokens), now);
    update_batch_credit(popped);
    erase_idle(queue);
    return popped;
}

void request_queue::insert(queued_request request, bool at_front)
{
    class_queue& queue = queue_of(request.is_interactive);
    organisation_queue& own = queue.organisations[request.organisation];
    if (own.waiting.empty()) {
        own.counter = std::max(own.counter, queue.counter_floor);
        queue.order.emplace(own.counter, request.organisation);
    }
    own.tokens += request.tokens;
    queue.tokens += request.tokens;
    ++queue.size;
    m_deadlines.emplace(request.deadline, request.id);
    const auto before = at_front ? own.waiting.begin() : own.waiting.end();
    const auto at = own.waiting.insert(before, std::move(request));
    m_positions.emplace(at->id, position{at->is_interactive, at});
}

queued_request request_queue::extract(const position& from)
{
    queued_request taken = std::move(*from.element);
    class_queue& queue = queue_of(from.is_interactive);
    organisation_queue& own = queue.organisations.at(taken.organisation);
    own.waiting.erase(from.element);
    own.tokens -= taken.tokens;
    queue.tokens -= taken.tokens;
    --queue.size;
    if (own.waiting.empty()) {
        queue.order.erase({own.counter, taken.organisation});
    }
    m_deadlines.erase({taken.deadline, taken.id});
    m_positions.erase(taken.id);
    if (queue_of(false).order.empty()) {
        m_batch_credit = 0;
    }
    return taken;
}

void request_queue::charge(class_queue& queue, const std::string& organisation, double tokens)
{
    const auto found = queue.organisations.find(organisation);
    if (found == queue.organisations.end()) {
        return; // erased while idle
    }
    organisation_queue& own = found->second;
    if (own.waiting.empty()) {
        own.counter += tokens;
        return;
    }
    queue.order.erase({own.counter, organisation});
    own.counter += tokens;
    queue.order.emplace(own.counter, organisation);
}

void request_queue::erase_idle(class_queue& queue)
{
    if (queue.organisations.size() <= 2 * queue.order.size() + max_idle_organisations) {
        return;
    }
    // nothing is lost: insert() would raise these counters to counter_floor, as it does for a new
    // organisation
    std::erase_if(queue.organisations, [&queue](const auto& item) {
        return item.second.waiting.empty() && item.second.counter <= queue.counter_floor;
    });
}

double request_queue::batch_credit_for(double tokens) const
{
    return tokens * m_settings.batch_share / (1 - m_settings.batch_share);
}

void request_queue::update_batch_credit(const queued_request& popped)
{
    if (queue_of(false).order.empty()) {
        m_batch_credit = 0;
        return;
    }
    const auto tokens = static_cast<double>(popped.tokens);
    if (popped.is_interactive) {
        m_batch_credit += batch_credit_for(tokens);
    }
    else {
        m_batch_credit = std::max(0.0, m_batch_credit - tokens);
    }
}

} // namespace hickorykeel
