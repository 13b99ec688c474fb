#include "gateway/configuration/published_state.h"

#include <algorithm> // max
#include <utility>   // exchange, move

namespace hickorykeel::gateway {

namespace {

std::uint64_t version_of(const published_reading& reading)
{
    return reading.published == nullptr ? 0 : reading.published->version;
}

} // namespace

bool published_state::is_older(const published_reading& reading) const
{
    return reading.revision < m_last.revision || version_of(reading) < version_of(m_last);
}

state_change published_state::apply(published_reading reading, time_point confirmed_at,
                                    time_point now)
{
    state_change change;
    if (is_older(reading)) {
        return change;
    }
    change.is_configuration_changed = version_of(reading) > version_of(m_last) ||
                                      reading.evacuated_domains != m_last.evacuated_domains;
    update_endpoints(reading, now, change);
    m_confirmed_at = std::max(m_confirmed_at, confirmed_at);
    m_last = std::move(reading);
    return change;
}

state_change published_state::confirm(time_point confirmed_at, time_point now)
{
    state_change change;
    m_confirmed_at = std::max(m_confirmed_at, confirmed_at);
    const bool keeps_missing = m_endpoints.size() > m_last.endpoints.size();
    if (m_had_outage || (keeps_missing && now >= m_settling_until)) {
        update_endpoints(m_last, now, change);
    }
    return change;
}

void published_state::update_endpoints(const published_reading& reading, time_point now,
                                       state_change& change)
{
    if (std::exchange(m_had_outage, false)) {
        m_settling_until = now + m_options.settling_time;
    }
    std::map<std::string, endpoint_entry> next;
    for (const endpoint_entry& entry : reading.endpoints) {
        next.emplace(entry.id, entry);
    }
    for (auto& [id, entry] : m_endpoints) {
        if (next.contains(id)) {
            continue;
        }
        if (now < m_settling_until && !entry.is_draining) {
            next.emplace(id, std::move(entry));
        }
        else {
            change.removed.push_back(id);
        }
    }
    m_endpoints = std::move(next);
}

} // namespace hickorykeel::gateway
