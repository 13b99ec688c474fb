#include "gateway/routing/endpoint_pool.h"

#include <algorithm> // count_if, none_of
#include <chrono>    // seconds
#include <cstddef>   // size_t
#include <map>       // erase_if
#include <optional>  // optional
#include <utility>   // exchange

// What is known of restarts of endpoints, and of whether they are cold.

namespace hickorykeel::gateway {

namespace {

/// Time for which the history of an endpoint without an entry is kept. Entries may lapse for a moment.
constexpr duration history_retention = std::chrono::seconds{10};

} // namespace

endpoint_pool::held_history& endpoint_pool::history_of(const std::string& id)
{
    held_history& held = m_histories[id];
    held.unlisted_since.reset();
    return held;
}

void endpoint_pool::drop_old_histories(time_point now)
{
    for (auto& [id, held] : m_histories) {
        if (!m_endpoints.contains(id)) {
            held.unlisted_since = held.unlisted_since.value_or(now);
        }
    }
    std::erase_if(m_histories, [now](const auto& item) {
        const std::optional<time_point>& since = item.second.unlisted_since;
        return since && now - *since >= history_retention;
    });
}

std::vector<endpoint_entry> endpoint_pool::take_reinstated()
{
    return std::exchange(m_reinstated, {});
}

std::vector<endpoint_entry> endpoint_pool::take_disconnected()
{
    return find_entries(std::exchange(m_disconnected, {}));
}

std::vector<endpoint_entry> endpoint_pool::take_wanted()
{
    return find_entries(std::exchange(m_wanted, {}));
}

std::vector<endpoint_entry> endpoint_pool::find_entries(const std::set<std::string>& ids) const
{
    std::vector<endpoint_entry> entries;
    for (const std::string& id : ids) {
        const auto found = m_endpoints.find(id);
        if (found != m_endpoints.end()) {
            entries.push_back(found->second.entry);
        }
    }
    return entries;
}

/// Records that the endpoint has ended a connection. Whether that is a sign of a restart on which
/// other hosts have to act is found out by asking it, unless it is cold anyway.
void endpoint_pool::on_disconnected(endpoint_state& state, time_point now)
{
    if (state.cold_rate <= 0) {
        return;
    }
    if (is_worth_asking(state, now) && !is_cold(state, now)) {
        m_disconnected.insert(state.entry.id);
    }
    state.history->on_sign(restart_sign::unconfirmed, now);
}

void endpoint_pool::on_asked(const std::string& endpoint, time_point now)
{
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end()) {
        found->second.history->on_sent(now);
    }
}

void endpoint_pool::on_restart_sign(const std::string& endpoint, restart_sign sign, time_point now)
{
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end() && found->second.cold_rate > 0) {
        const restart_sign taken = m_is_path_lost ? restart_sign::unconfirmed : sign;
        found->second.history->on_sign(taken, now);
        m_has_urgent_news = m_has_urgent_news || concerns_region(taken);
    }
}

void endpoint_pool::on_idle_connection_ended(const std::string& address, time_point now)
{
    for (auto& [id, state] : m_endpoints) {
        if (state.entry.address == address) {
            on_disconnected(state, now);
        }
    }
}

void endpoint_pool::on_warm(const std::string& endpoint, time_point asked_at, time_point now)
{
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end() && !found->second.is_evacuated) {
        endpoint_history& history = *found->second.history;
        // hosts that have started at the same time, or have no contact, don't know it either
        m_has_urgent_news =
            m_has_urgent_news || history.is_past_unknown(now) || history.is_unproven(now);
        history.on_warm(asked_at);
    }
}

void endpoint_pool::on_host_start(time_point read_at)
{
    for (const auto& [id, state] : m_endpoints) {
        if (state.cold_rate > 0) {
            state.history->on_host_start(read_at);
        }
    }
}

std::vector<endpoint_entry> endpoint_pool::past_unknown(time_point now) const
{
    std::vector<endpoint_entry> entries;
    for (const auto& [id, state] : m_endpoints) {
        if (is_worth_asking(state, now) && state.history->is_past_unknown(now)) {
            entries.push_back(state.entry);
        }
    }
    return entries;
}

std::size_t endpoint_pool::past_unknown_count(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_endpoints.begin(), m_endpoints.end(), [now](const auto& item) {
            return item.second.history->is_past_unknown(now);
        }));
}

void endpoint_pool::on_peer_all_warm(time_point now)
{
    for (const auto& [id, state] : m_endpoints) {
        state.history->on_peer_warm(now);
    }
}

bool endpoint_pool::are_all_warm(time_point now) const
{
    return !m_endpoints.empty() &&
           std::none_of(m_endpoints.begin(), m_endpoints.end(), [now](const auto& item) {
               const endpoint_history& history = *item.second.history;
               return item.second.cold_rate > 0 &&
                      (history.is_known_cold(now) || history.is_newly_contacted(now));
           });
}

void endpoint_pool::on_peer_restart(const restart_report& report, time_point now)
{
    for (auto& [id, state] : m_endpoints) {
        if (state.hash == report.endpoint && state.cold_rate > 0) {
            const auto is_unknown = [&history = *state.history, now] {
                return history.is_past_unknown(now) || history.is_unproven(now);
            };
            const bool was_unknown = is_unknown();
            const bool is_new =
                state.history->on_peer_report(report, now) || (was_unknown && !is_unknown());
            m_has_urgent_news = m_has_urgent_news || is_new;
        }
    }
}

std::vector<restart_report> endpoint_pool::own_restarts(time_point now)
{
    m_has_urgent_news = false;
    std::vector<restart_report> reports;
    for (const auto& [id, state] : m_endpoints) {
        if (state.own.active > 0) {
            state.history->on_contact_kept(now);
        }
        if (const auto report = state.history->to_report(state.hash, now)) {
            reports.push_back(*report);
        }
    }
    return reports;
}

std::vector<endpoint_entry> endpoint_pool::unconfirmed(time_point now) const
{
    std::vector<endpoint_entry> entries;
    for (const auto& [id, state] : m_endpoints) {
        if (is_worth_asking(state, now) && state.history->needs_check(now)) {
            entries.push_back(state.entry);
        }
    }
    return entries;
}

void endpoint_pool::set_end_seen(const std::string& endpoint, bool is_seen)
{
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end()) {
        found->second.history->set_end_seen(is_seen);
    }
}

std::vector<endpoint_entry> endpoint_pool::needing_contact(time_point now) const
{
    std::vector<endpoint_entry> entries;
    for (const auto& [id, state] : m_endpoints) {
        if (is_worth_asking(state, now) && !is_blocked(state, now) &&
            state.history->needs_contact(now)) {
            entries.push_back(state.entry);
        }
    }
    return entries;
}

bool endpoint_pool::on_cold(const std::string& endpoint, duration remaining, time_point asked_at,
                            time_point now)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end()) {
        return false;
    }
    endpoint_history& history = *found->second.history;
    const bool was_cold = is_cold(found->second, now);
    // the other hosts may not know of a doubt of this one
    m_has_urgent_news = m_has_urgent_news || !was_cold || history.is_in_doubt(now);
    history.on_cold(remaining, asked_at, now);
    return !was_cold;
}

void endpoint_pool::on_peer_cold(const cold_report& report, time_point now)
{
    for (auto& [id, state] : m_endpoints) {
        if (state.hash == report.endpoint) {
            m_has_urgent_news = m_has_urgent_news || !is_cold(state, now);
            state.history->on_peer_cold(report.remaining, now);
        }
    }
}

std::vector<cold_report> endpoint_pool::own_cold_endpoints(time_point now) const
{
    std::vector<cold_report> reports;
    for (const auto& [id, state] : m_endpoints) {
        if (const auto remaining = state.history->own_cold_report(now)) {
            reports.push_back({state.hash, *remaining});
        }
    }
    return reports;
}

std::vector<endpoint_entry> endpoint_pool::assumed_warm(time_point now) const
{
    std::vector<endpoint_entry> entries;
    for (const auto& [id, state] : m_endpoints) {
        if (is_worth_asking(state, now) && !is_blocked(state, now) && !is_cold(state, now)) {
            entries.push_back(state.entry);
        }
    }
    return entries;
}

} // namespace hickorykeel::gateway
