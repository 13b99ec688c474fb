#include "gateway/limits/rate_share.h"
#include "gateway/routing/endpoint_pool.h"

#include <algorithm> // max, nth_element
#include <cstddef>   // size_t

// The rates that endpoints name, and this host's shares of them.

namespace hickorykeel::gateway {

namespace {

constexpr std::size_t max_rate_reports = 128; // in one heartbeat

} // namespace

bool endpoint_pool::on_rate_statement(const endpoint_incarnation& endpoint,
                                      const rate_statement& statement, time_point now)
{
    const bool is_changed = m_notices.on_rate_statement(endpoint, statement, now);
    const auto found = m_endpoints.find(endpoint.id);
    if (found != m_endpoints.end()) {
        update_rate(found->second, now);
    }
    return is_changed;
}

/// Takes over the newest statement of the endpoint on its rate. A share that is new begins empty.
void endpoint_pool::update_rate(endpoint_state& state, time_point now) const
{
    state.rate = m_notices.last_rate_statement({state.entry.id, state.entry.started_ms});
    if (!state.rate.max_rate) {
        state.share.reset();
    }
    else {
        if (!state.share) {
            state.share.emplace(now);
        }
        update_share(state, now);
    }
}

/// Applies this host's present share of the endpoint's rate. Precondition: it names one.
void endpoint_pool::update_share(endpoint_state& state, time_point now) const
{
    const double rate = m_to_rate_share(state.entry.id, *state.rate.max_rate);
    state.share->set_rights(rate, rate > 0 ? rate_share_burst : 0, now);
}

/// Returns the time until this host's share of the endpoint's rate admits a request, or nothing if it
/// has none; 0 without a rate.
std::optional<duration> endpoint_pool::time_to_share(endpoint_state& state, time_point now) const
{
    if (!state.share) {
        return duration{0};
    }
    update_share(state, now);
    return state.share->wait_for(rate_share_burst, now);
}

bool endpoint_pool::try_take_share(const std::string& endpoint, time_point now)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end()) {
        return true;
    }
    const endpoint_state& state = found->second;
    if (is_brittle(state) && (has_stated_waiting(state, now) || !has_free_slot(state, now))) {
        return false;
    }
    if (!state.share) {
        return true;
    }
    if (time_to_share(found->second, now) != duration{0}) {
        return false;
    }
    found->second.share->take_up_to(1, now);
    return true;
}

std::vector<rate_report> endpoint_pool::rate_reports(time_point now) const
{
    std::vector<rate_report> reports;
    for (const auto& [id, state] : m_endpoints) {
        if (state.rate.said_at != time_point{}) {
            reports.push_back(
                {state.incarnation_hash, state.rate.max_rate, now - state.rate.said_at});
        }
    }
    if (reports.size() > max_rate_reports) {
        std::nth_element(reports.begin(), reports.begin() + max_rate_reports, reports.end(),
                         [](const auto& lhs, const auto& rhs) { return lhs.age < rhs.age; });
        reports.resize(max_rate_reports);
    }
    return reports;
}

bool endpoint_pool::on_peer_rate(const rate_report& report, time_point heard_since, time_point now)
{
    const auto found = m_incarnations.find(report.incarnation);
    if (found == m_incarnations.end()) {
        return false;
    }
    // a report that waited is older than it says, and must not end a rate that was named meanwhile
    const time_point said_by = report.max_rate ? now : heard_since;
    return on_rate_statement(found->second, {report.max_rate, said_by - report.age}, now);
}

/// Returns the time until the endpoint, by its own word, wants a request of this host, or nothing if
/// it wants none; 0 or less if it does now.
std::optional<duration> endpoint_pool::time_unwanted(endpoint_state& state, time_point now) const
{
    const std::optional<duration> wait = time_to_share(state, now);
    return wait ? std::max(state.turned_away_until - now, *wait) : wait;
}

double endpoint_pool::total_share(const placement_request& request) const
{
    double total = 0;
    for (const auto& [id, state] : m_endpoints) {
        if (state.share && is_candidate(state, request)) {
            total += m_to_rate_share(id, *state.rate.max_rate);
        }
    }
    return total;
}

} // namespace hickorykeel::gateway
