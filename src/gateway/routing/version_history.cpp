#include "gateway/routing/version_history.h"

#include "gateway/routing/rendezvous.h"

#include <algorithm> // count_if, max, min

namespace hickorykeel::gateway {

void version_history::update(const std::map<std::string, endpoint_entry>& entries,
                             time_point read_at, time_point now)
{
    for (const auto& [id, entry] : entries) {
        time_point& seen = m_services[entry.service][short_hash(entry.software_version)];
        seen = std::max(seen, now);
    }
    if (!entries.empty()) {
        m_known_since = std::min(m_known_since.value_or(read_at), read_at);
    }
    for (auto& [service, known] : m_services) {
        std::erase_if(known, [now](const auto& item) { return now - item.second > retention; });
    }
}

std::optional<std::uint32_t> version_history::only_version(const std::string& service,
                                                           duration window, time_point now) const
{
    const auto known = m_services.find(service);
    if (!m_known_since || now - *m_known_since < window || known == m_services.end()) {
        return std::nullopt;
    }
    std::optional<std::uint32_t> found;
    for (const auto& [version, seen] : known->second) {
        if (now - seen > window) {
            continue;
        }
        if (found) {
            return std::nullopt;
        }
        found = version;
    }
    return found;
}

bool version_history::has_several(const std::string& service, duration window, time_point now) const
{
    const auto known = m_services.find(service);
    return known != m_services.end() &&
           std::count_if(known->second.begin(), known->second.end(),
                         [&](const auto& item) { return now - item.second <= window; }) > 1;
}

} // namespace hickorykeel::gateway
