#include "gateway/configuration/published_state.h"

#include <algorithm> // max
#include <utility>   // exchange, move

namespace hickorykeel::gateway {

state_change published_state::apply(control_reading reading, time_point current_at)
{
    state_change change;
    const bool is_older_version =
        m_control.published != nullptr &&
        (reading.published == nullptr || reading.published->version < m_control.published->version);
    if (reading.revision < m_control.revision || is_older_version) {
        return change;
    }
    const std::uint64_t held = m_control.published == nullptr ? 0 : m_control.published->version;
    const std::uint64_t read = reading.published == nullptr ? 0 : reading.published->version;
    change.is_newer = read > held || reading.evacuated_domains != m_control.evacuated_domains;
    m_control_current_at = std::max(m_control_current_at, current_at);
    m_control = std::move(reading);
    return change;
}

state_change published_state::apply(endpoints_reading reading, time_point current_at,
                                    time_point now)
{
    state_change change;
    if (reading.revision < m_last.revision) {
        return change;
    }
    if (std::exchange(m_had_outage, false)) {
        m_settled_at = now + m_options.settling_time;
    }
    std::map<std::string, endpoint_entry> next;
    for (const endpoint_entry& entry : reading.endpoints) {
        next.emplace(entry.id, entry);
    }
    for (auto& [id, entry] : m_endpoints) {
        if (next.contains(id)) {
            continue;
        }
        if (now < m_settled_at && !entry.is_draining) {
            next.emplace(id, std::move(entry));
        }
        else {
            change.removed.push_back(id);
        }
    }
    m_endpoints = std::move(next);
    m_endpoints_current_at = std::max(m_endpoints_current_at, current_at);
    m_last = std::move(reading);
    return change;
}

} // namespace hickorykeel::gateway
