#include "gateway/routing/endpoint_pool.h"

#include <algorithm> // count_if, max, min, nth_element
#include <chrono>    // milliseconds, seconds
#include <cmath>     // floor
#include <cstddef>   // size_t
#include <cstdint>   // uint32_t

// Endpoints that crash if they reject too many requests, and this host's share of their room. If each
// host keeps to its share, at most the larger one of an endpoint's slots and its rejection limit are
// under way or were rejected within the last second: either all find a slot, or no more are rejected
// than the endpoint survives.

namespace hickorykeel::gateway {

namespace {

constexpr duration rejection_window = std::chrono::seconds{1};
constexpr std::size_t max_rejection_reports = 128; // in one heartbeat
constexpr unsigned max_hold_off_doublings = 3;

/// Time for which an endpoint is taken for full once it has stated that requests wait there.
constexpr duration waiting_statement_time = std::chrono::milliseconds{300};

/// Part of a plain endpoint's slots that a host uses after its start until the endpoint responds.
constexpr std::uint32_t first_part = 4;

/// Fraction of the requests under way that remains allowed after a rejection.
constexpr double room_decrease = 0.5;

} // namespace

bool endpoint_pool::on_rejection_statement(const endpoint_incarnation& endpoint,
                                           const rejection_statement& statement, time_point now)
{
    const bool is_changed = m_notices.on_rejection_statement(endpoint, statement, now);
    if (endpoint_state* const state = find_incarnation(endpoint)) {
        state->has_stated_rejections = true;
        state->rejections = m_notices.last_rejection_statement(endpoint);
        rejection_statement& of_service = state->of_service->rejections;
        if (statement.said_at > of_service.said_at) {
            of_service = statement;
        }
    }
    return is_changed;
}

std::vector<rejection_report> endpoint_pool::rejection_reports(time_point now) const
{
    std::vector<rejection_report> reports;
    for (const auto& [id, state] : m_endpoints) {
        if (state.rejections.said_at != time_point{}) {
            reports.push_back(
                {state.incarnation_hash, state.rejections.limit, now - state.rejections.said_at});
        }
    }
    if (reports.size() > max_rejection_reports) {
        std::nth_element(reports.begin(), reports.begin() + max_rejection_reports, reports.end(),
                         [](const auto& lhs, const auto& rhs) { return lhs.age < rhs.age; });
        reports.resize(max_rejection_reports);
    }
    return reports;
}

bool endpoint_pool::on_peer_rejections(const rejection_report& report, time_point heard_since,
                                       time_point now)
{
    const auto found = m_incarnations.find(report.incarnation);
    if (found == m_incarnations.end()) {
        return false;
    }
    // a report that waited is older than it says, and must not end a limit that was named meanwhile
    const time_point said_by = report.limit ? now : heard_since;
    return on_rejection_statement(found->second, {report.limit, said_by - report.age}, now);
}

/// Returns the rejections in a second that the endpoint survives, or nothing if it survives any number.
/// An incarnation that hasn't said anything is taken for as brittle as the others of its service.
const std::optional<std::uint32_t>& endpoint_pool::rejection_limit(const endpoint_state& state)
{
    return state.has_stated_rejections || state.rejections.said_at != time_point{}
               ? state.rejections.limit
               : state.of_service->rejections.limit;
}

/// Whether a number of requests that fills the slots alone may crash the endpoint.
bool endpoint_pool::is_brittle(const endpoint_state& state)
{
    const std::optional<std::uint32_t>& limit = rejection_limit(state);
    return limit && *limit < state.entry.slots;
}

bool endpoint_pool::is_brittle(const endpoint_incarnation& endpoint) const
{
    const auto found = m_endpoints.find(endpoint.id);
    return found != m_endpoints.end() && is_brittle(found->second);
}

/// Returns how many requests the hosts may have under way together, those that were rejected within
/// the last second included: so many find a slot, or may be rejected.
/// Precondition: the endpoint has a rejection limit.
std::uint32_t endpoint_pool::room_of(const endpoint_state& state)
{
    return std::max(state.entry.slots, *rejection_limit(state));
}

/// Whether this host has no share of the endpoint's room, whatever becomes free.
bool endpoint_pool::is_without_share(const endpoint_state& state) const
{
    return rejection_limit(state) && m_to_room_share(state.entry.id, room_of(state)) == 0;
}

/// Whether the endpoint has stated of late that requests wait for its room.
bool endpoint_pool::has_stated_waiting(const endpoint_state& state, time_point now)
{
    return state.stated && state.stated->load.waiting > 0 &&
           now - state.stated->as_of < waiting_statement_time;
}

/// Whether this host may send a request to an endpoint with a rejection limit, if it has one.
bool endpoint_pool::has_room(const endpoint_state& state, time_point now) const
{
    if (!rejection_limit(state)) {
        // a host that starts can't know yet of the limit of an endpoint that hasn't responded to it
        const bool may_be_unaware =
            m_start && m_start->is_active(now) && !state.is_engine && !state.has_stated_rejections;
        return !may_be_unaware || state.own.active < std::max(1U, state.entry.slots / first_part);
    }
    if (is_brittle(state) && has_stated_waiting(state, now)) {
        return false;
    }
    const auto rejected = static_cast<std::uint32_t>(
        std::count_if(state.rejected_at.begin(), state.rejected_at.end(),
                      [now](time_point at) { return now - at < rejection_window; }));
    const double share = m_to_room_share(state.entry.id, room_of(state));
    return state.own.active + rejected < std::floor(std::min(share, state.learned_room));
}

/// Records that an endpoint with a rejection limit has rejected a request of this host. A brittle one
/// gets nothing for a second, and for longer with each further rejection.
void endpoint_pool::on_rejected(endpoint_state& state, time_point now) const
{
    std::erase_if(state.rejected_at, [now](time_point at) { return now - at >= rejection_window; });
    state.rejected_at.push_back(now);
    if (!is_brittle(state)) {
        return;
    }
    state.learned_room = std::max(1.0, state.own.active * room_decrease);
    const duration hold_off =
        rejection_window * (1U << std::min(state.rejections_in_row, max_hold_off_doublings));
    ++state.rejections_in_row;
    state.backoff_until = std::max(state.backoff_until, now + hold_off);
}

/// Lets the host send more requests to a brittle endpoint that has answered one: about one more for
/// each time that all of them are answered.
void endpoint_pool::on_room_used(endpoint_state& state)
{
    state.rejections_in_row = 0;
    state.learned_room += 1 / std::max(1.0, state.learned_room);
}

std::optional<endpoint_room> endpoint_pool::find_room_elsewhere(const placement_request& request,
                                                                random_source& random) const
{
    std::vector<const endpoint_state*> found;
    for (const auto& [id, state] : m_endpoints) {
        if (!is_candidate(state, request)) {
            continue;
        }
        if (!is_without_share(state)) {
            return std::nullopt;
        }
        found.push_back(&state);
    }
    if (found.empty()) {
        return std::nullopt;
    }
    const endpoint_state* const chosen = found[random_index(random, found.size())];
    return endpoint_room{chosen->entry.id, room_of(*chosen)};
}

} // namespace hickorykeel::gateway
