#include "gateway/routing/endpoint_notices.h"

#include "gateway/routing/rendezvous.h"

#include <algorithm> // max, min, min_element
#include <string>    // to_string
#include <utility>   // exchange

namespace hickorykeel::gateway {

namespace {

/// Whether two incarnations with the same id may be the same one.
bool may_be_same(std::int64_t lhs_started_ms, std::int64_t rhs_started_ms) noexcept
{
    return lhs_started_ms == rhs_started_ms || lhs_started_ms == 0 || rhs_started_ms == 0;
}

} // namespace

std::uint32_t short_hash(const endpoint_incarnation& endpoint)
{
    return short_hash(endpoint.id + '/' + std::to_string(endpoint.started_ms));
}

bool endpoint_notices::on_leaving(const endpoint_incarnation& endpoint, time_point now)
{
    const bool is_new = !is_leaving(endpoint);
    find_or_add(endpoint, now).is_leaving = true;
    return is_new;
}

bool endpoint_notices::on_ended(const endpoint_incarnation& endpoint, time_point now)
{
    if (endpoint.started_ms == 0) {
        return false; // others with its id may be sound
    }
    return !std::exchange(find_or_add(endpoint, now).is_ended, true);
}

void endpoint_notices::on_turned_away(const endpoint_incarnation& endpoint, duration delay,
                                      time_point now)
{
    notice& found = find_or_add(endpoint, now);
    found.turned_away_until =
        std::max(found.turned_away_until, now + std::min(delay, max_turn_away));
}

time_point endpoint_notices::turned_away_until(const endpoint_incarnation& endpoint) const
{
    time_point until{};
    for (auto it = m_notices.lower_bound({endpoint.id, INT64_MIN});
         it != m_notices.end() && it->first.id == endpoint.id; ++it) {
        if (may_be_same(it->first.started_ms, endpoint.started_ms)) {
            until = std::max(until, it->second.turned_away_until);
        }
    }
    return until;
}

bool endpoint_notices::on_rate_statement(const endpoint_incarnation& endpoint,
                                         const rate_statement& statement, time_point now)
{
    const rate_statement last = last_rate_statement(endpoint);
    const bool has_said_nothing = !statement.max_rate && last.said_at == time_point{};
    if (has_said_nothing || statement.said_at <= last.said_at) {
        return false;
    }
    find_or_add(endpoint, now).rate = statement;
    return statement.max_rate != last.max_rate;
}

rate_statement endpoint_notices::last_rate_statement(const endpoint_incarnation& endpoint) const
{
    return newest(endpoint, &notice::rate);
}

bool endpoint_notices::on_rejection_statement(const endpoint_incarnation& endpoint,
                                              const rejection_statement& statement, time_point now)
{
    const rejection_statement last = last_rejection_statement(endpoint);
    const bool has_said_nothing = !statement.limit && last.said_at == time_point{};
    if (has_said_nothing || statement.said_at <= last.said_at) {
        return false;
    }
    find_or_add(endpoint, now).rejections = statement;
    return statement.limit != last.limit;
}

rejection_statement
endpoint_notices::last_rejection_statement(const endpoint_incarnation& endpoint) const
{
    return newest(endpoint, &notice::rejections);
}

/// Returns the newest statement of one kind that the endpoint has made.
template <typename Statement>
Statement endpoint_notices::newest(const endpoint_incarnation& endpoint,
                                   Statement notice::*member) const
{
    Statement last;
    for (auto it = m_notices.lower_bound({endpoint.id, INT64_MIN});
         it != m_notices.end() && it->first.id == endpoint.id; ++it) {
        if (may_be_same(it->first.started_ms, endpoint.started_ms) &&
            (it->second.*member).said_at > last.said_at) {
            last = it->second.*member;
        }
    }
    return last;
}

bool endpoint_notices::is_leaving(const endpoint_incarnation& endpoint) const
{
    for (auto it = m_notices.lower_bound({endpoint.id, INT64_MIN});
         it != m_notices.end() && it->first.id == endpoint.id; ++it) {
        if (it->second.is_leaving && may_be_same(it->first.started_ms, endpoint.started_ms)) {
            return true;
        }
    }
    return false;
}

bool endpoint_notices::is_ended(const endpoint_incarnation& endpoint) const
{
    const auto found = m_notices.find(endpoint);
    return found != m_notices.end() && found->second.is_ended;
}

endpoint_notices::notice& endpoint_notices::find_or_add(const endpoint_incarnation& endpoint,
                                                        time_point now)
{
    if (m_notices.size() >= max_notices && !m_notices.contains(endpoint)) {
        make_room(now);
    }
    notice& found = m_notices[endpoint];
    found.updated = now;
    return found;
}

/// Drops the notices that are over, or the oldest one if there are none. Precondition: there is a
/// notice.
void endpoint_notices::make_room(time_point now)
{
    const auto dropped = std::erase_if(m_notices, [now](const auto& item) {
        const notice& held = item.second;
        return !held.is_leaving && !held.is_ended && !held.rate.max_rate &&
               !held.rejections.limit && held.turned_away_until <= now;
    });
    if (dropped > 0) {
        return;
    }
    m_notices.erase(
        std::min_element(m_notices.begin(), m_notices.end(), [](const auto& lhs, const auto& rhs) {
            return lhs.second.updated < rhs.second.updated;
        }));
}

} // namespace hickorykeel::gateway
