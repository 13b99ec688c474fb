#include "gateway/configuration/published_state.h"

#include <algorithm> // max
#include <chrono>    // seconds
#include <utility>   // exchange, move

namespace hickorykeel::gateway {

namespace {

/// Time for which the entry of a removed endpoint is remembered: longer than the age of the copies
/// from which sources are restored.
constexpr duration removed_retention = std::chrono::seconds{60};

std::uint64_t version_of(const published_reading& reading)
{
    return reading.published == nullptr ? 0 : reading.published->version;
}

/// Whether `lhs` was written later than `rhs`, both by an endpoint with the same id. Sequences count
/// from the start of an incarnation.
bool is_newer(const endpoint_entry& lhs, const endpoint_entry& rhs) noexcept
{
    const bool has_starts = lhs.started_ms != 0 && rhs.started_ms != 0;
    if (has_starts && lhs.started_ms != rhs.started_ms) {
        return lhs.started_ms > rhs.started_ms;
    }
    return lhs.sequence > rhs.sequence;
}

} // namespace

state_change published_state::apply(published_reading reading, time_point confirmed_at,
                                    time_point now)
{
    state_change change;
    if (reading.position < m_last.position) {
        return change;
    }
    if (reading.position.era > m_last.position.era && !m_last.position.is_none()) {
        begin_era(now);
    }
    const bool is_outdated = version_of(reading) < version_of(m_last);
    if (is_outdated) {
        reading.published = m_last.published;
    }
    keep_evacuations(reading, now);
    change.is_configuration_changed = version_of(reading) > version_of(m_last) ||
                                      reading.evacuated_domains != m_last.evacuated_domains;
    update_endpoints(reading, now, change);
    if (!is_outdated) {
        set_confirmed(confirmed_at);
    }
    m_last = std::move(reading);
    return change;
}

void published_state::set_confirmed(time_point confirmed_at) noexcept
{
    m_confirmed_at = std::max(m_confirmed_at, confirmed_at);
    if (m_is_version_checked) {
        m_trusted_at = m_confirmed_at;
    }
}

/// Prepares for what a source shows that was restored from an older copy.
void published_state::begin_era(time_point now)
{
    begin_version_check();
    m_had_outage = true;
    m_restoring_until = now + m_options.restoring_time;
    m_former_evacuations = m_last.evacuated_domains;
}

/// Adds the evacuations that the source may have lost.
void published_state::keep_evacuations(published_reading& reading, time_point now)
{
    m_listed_evacuations = reading.evacuated_domains;
    if (now >= m_restoring_until) {
        m_former_evacuations.clear();
    }
    reading.evacuated_domains.insert(m_former_evacuations.begin(), m_former_evacuations.end());
}

state_change published_state::confirm(time_point confirmed_at, time_point now)
{
    state_change change;
    set_confirmed(confirmed_at);
    if (now >= m_restoring_until && !m_former_evacuations.empty()) {
        m_former_evacuations.clear();
        change.is_configuration_changed = m_last.evacuated_domains != m_listed_evacuations;
        m_last.evacuated_domains = m_listed_evacuations;
    }
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
    std::map<std::string, endpoint_entry> next = to_listed(reading.endpoints, now);
    for (auto& [id, entry] : m_endpoints) {
        if (next.contains(id)) {
            continue;
        }
        if (now < m_settling_until && !entry.is_draining) {
            next.emplace(id, std::move(entry));
        }
        else {
            remove(entry, now, change);
        }
    }
    m_endpoints = std::move(next);
}

void published_state::remove(const endpoint_entry& entry, time_point now, state_change& change)
{
    std::erase_if(m_removed, [now](const auto& item) {
        return now - item.second.removed_at >= removed_retention;
    });
    m_removed[entry.id] = {entry, now};
    change.removed.push_back(entry.id);
}

/// Returns the listed endpoints by id. For the restoring time, entries that are older than known ones
/// are replaced by these, and left out if the endpoint has been removed since.
std::map<std::string, endpoint_entry>
published_state::to_listed(const std::vector<endpoint_entry>& entries, time_point now) const
{
    std::map<std::string, endpoint_entry> listed;
    for (const endpoint_entry& entry : entries) {
        if (now >= m_restoring_until) {
            listed.emplace(entry.id, entry);
        }
        else if (auto newest = newest_of(entry)) {
            listed.emplace(entry.id, *std::move(newest));
        }
    }
    return listed;
}

/// Returns `entry` or the held one, whichever is newer; nothing if `entry` is no newer than the last
/// one of an endpoint that has been removed.
std::optional<endpoint_entry> published_state::newest_of(const endpoint_entry& entry) const
{
    const auto held = m_endpoints.find(entry.id);
    if (held != m_endpoints.end()) {
        return is_newer(held->second, entry) ? held->second : entry;
    }
    const auto removed = m_removed.find(entry.id);
    if (removed != m_removed.end() && !is_newer(entry, removed->second.entry)) {
        return std::nullopt;
    }
    return entry;
}

} // namespace hickorykeel::gateway
