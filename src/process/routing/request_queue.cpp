#include "process/routing/request_queue.h"

#include <algorithm> // max, min
#include <cassert>   // assert
#include <cmath>     // exp
#include <utility>   // move, exchange

namespace hickorykeel {

namespace {

/// Idle organisations that a queue remembers beyond the waiting ones.
constexpr std::size_t idle_organisations = 64;

} // namespace

request_queue::request_queue(request_queue_settings settings) : m_settings{settings} {}

push_outcome request_queue::push(queued_request request, time_point now)
{
    if (m_places.contains(request.id)) {
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

void request_queue::put_back(queued_request request)
{
    assert(!m_places.contains(request.id));
    const auto tokens = static_cast<double>(request.tokens);
    charge(queue_of(request.is_interactive), request.organisation, -tokens);
    recent_use& use = m_uses[request.organisation];
    use.tokens = std::max(0.0, use.tokens - tokens);
    if (request.is_interactive) {
        m_batch_credit = std::max(0.0, m_batch_credit - batch_part_of(tokens));
    }
    else if (!queue_of(true).order.empty()) {
        m_batch_credit += tokens;
    }
    insert(std::move(request), true);
}

bool request_queue::remove(std::uint64_t id)
{
    const auto found = m_places.find(id);
    if (found == m_places.end()) {
        return false;
    }
    extract(place{found->second});
    return true;
}

std::vector<queued_request> request_queue::take_expired(time_point now)
{
    std::vector<queued_request> expired = std::exchange(m_expired, {});
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        expired.push_back(extract(place{m_places.at(m_deadlines.begin()->second)}));
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
    // a new organisation waits for about one request of each other one
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
    const double use = use_of(interactive.organisation, now) / interactive.weight;
    // the batch request counts as served, so that a first one does not go before all
    const double other_tokens = use_of(batch.organisation, now) + static_cast<double>(batch.tokens);
    return use > m_settings.excess_factor * other_tokens / batch.weight;
}

double request_queue::use_of(const std::string& organisation, time_point now) const
{
    const auto found = m_uses.find(organisation);
    if (found == m_uses.end()) {
        return 0;
    }
    const double age = to_seconds(now - found->second.moment) / to_seconds(m_settings.use_memory);
    return found->second.tokens * std::exp(-age);
}

void request_queue::note_use(const std::string& organisation, double tokens, time_point now)
{
    const double before = use_of(organisation, now);
    m_uses[organisation] = {before + tokens, now};
    if (m_uses.size() > idle_organisations + 2 * m_deadlines.size()) {
        std::erase_if(m_uses, [this, now](const auto& item) {
            return now - item.second.moment > 10 * m_settings.use_memory;
        });
    }
}

queued_request request_queue::pop_from(class_queue& queue, time_point now)
{
    const place next = m_places.at(head_of(queue).id);
    queued_request popped = extract(next);
    queue.floor = std::max(queue.floor, queue.organisations[popped.organisation].served);
    charge(queue, popped.organisation, static_cast<double>(popped.tokens));
    note_use(popped.organisation, static_cast<double>(popped.tokens), now);
    note_classes(popped);
    forget_idle(queue);
    return popped;
}

void request_queue::insert(queued_request request, bool at_front)
{
    class_queue& queue = queue_of(request.is_interactive);
    organisation_queue& own = queue.organisations[request.organisation];
    if (own.waiting.empty()) {
        own.served = std::max(own.served, queue.floor);
        queue.order.emplace(own.served, request.organisation);
    }
    own.tokens += request.tokens;
    queue.tokens += request.tokens;
    ++queue.size;
    m_deadlines.emplace(request.deadline, request.id);
    const auto before = at_front ? own.waiting.begin() : own.waiting.end();
    const auto at = own.waiting.insert(before, std::move(request));
    m_places.emplace(at->id, place{at->is_interactive, at});
}

queued_request request_queue::extract(const place& from)
{
    queued_request taken = std::move(*from.at);
    class_queue& queue = queue_of(from.is_interactive);
    organisation_queue& own = queue.organisations.at(taken.organisation);
    own.waiting.erase(from.at);
    own.tokens -= taken.tokens;
    queue.tokens -= taken.tokens;
    --queue.size;
    if (own.waiting.empty()) {
        queue.order.erase({own.served, taken.organisation});
    }
    m_deadlines.erase({taken.deadline, taken.id});
    m_places.erase(taken.id);
    if (queue_of(false).order.empty()) {
        m_batch_credit = 0;
    }
    return taken;
}

void request_queue::charge(class_queue& queue, const std::string& organisation, double tokens)
{
    const auto found = queue.organisations.find(organisation);
    if (found == queue.organisations.end()) {
        return; // forgotten while idle
    }
    organisation_queue& own = found->second;
    if (own.waiting.empty()) {
        own.served += tokens;
        return;
    }
    queue.order.erase({own.served, organisation});
    own.served += tokens;
    queue.order.emplace(own.served, organisation);
}

void request_queue::forget_idle(class_queue& queue)
{
    if (queue.organisations.size() <= 2 * queue.order.size() + idle_organisations) {
        return;
    }
    // the lift would give the same counter to an organisation below the floor
    std::erase_if(queue.organisations, [&queue](const auto& item) {
        return item.second.waiting.empty() && item.second.served <= queue.floor;
    });
}

double request_queue::batch_part_of(double tokens) const
{
    return tokens * m_settings.batch_share / (1 - m_settings.batch_share);
}

void request_queue::note_classes(const queued_request& popped)
{
    if (queue_of(false).order.empty()) {
        m_batch_credit = 0;
        return;
    }
    const auto tokens = static_cast<double>(popped.tokens);
    if (popped.is_interactive) {
        m_batch_credit += batch_part_of(tokens);
    }
    else {
        m_batch_credit = std::max(0.0, m_batch_credit - tokens);
    }
}

} // namespace hickorykeel
