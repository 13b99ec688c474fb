#include "gateway/routing/version_history.h"

#include "gateway/routing/rendezvous.h"

#include <algorithm> // count_if, max, min
#include <utility>   // exchange

namespace hickorykeel::gateway {

void version_history::update(const std::map<std::string, endpoint_entry>& entries,
                             time_point confirmed_at, time_point now)
{
    for (auto& [service, known] : m_services) {
        for (auto& [version, state] : known) {
            if (std::exchange(state.is_listed, false)) {
                state.seen = now;
            }
        }
    }
    for (const auto& [id, entry] : entries) {
        m_services[entry.service][short_hash(entry.software_version)].is_listed = true;
    }
    for (auto& [service, known] : m_services) {
        std::erase_if(known, [now](const auto& item) {
            return !item.second.is_listed && now - item.second.seen > retention;
        });
    }
    std::erase_if(m_services, [](const auto& item) { return item.second.empty(); });
    const bool is_first = !m_known_since && !entries.empty() && confirmed_at != time_point{};
    if (is_first) {
        // what was removed while the entries were on their way may be missing in them
        m_known_since = now;
        m_confirmed_at = confirmed_at;
    }
    confirm(confirmed_at, now);
}

void version_history::confirm(time_point confirmed_at, time_point now)
{
    if (!m_known_since || confirmed_at <= m_confirmed_at) {
        return;
    }
    if (confirmed_at - m_confirmed_at > max_gap) {
        m_known_since = now;
    }
    m_confirmed_at = confirmed_at;
}

duration version_history::on_claim(const single_version_claim& claim, time_point now)
{
    const duration span = std::min(claim.span, retention);
    if (!m_known_since || now - span >= *m_known_since ||
        hash_of_only_versions() != claim.versions) {
        return duration{0};
    }
    return std::exchange(*m_known_since, now - span) - (now - span);
}

std::optional<std::uint32_t> version_history::only_version(const std::string& service,
                                                           duration window, time_point now) const
{
    const duration span = window + max_gap;
    const auto known = m_services.find(service);
    if (!is_confirmed(now) || span > retention || now - *m_known_since < span ||
        known == m_services.end()) {
        return std::nullopt;
    }
    std::optional<std::uint32_t> found;
    for (const auto& [version, state] : known->second) {
        if (!state.is_listed && now - state.seen > span) {
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
           std::count_if(known->second.begin(), known->second.end(), [&](const auto& item) {
               return item.second.is_listed || now - item.second.seen <= window + max_gap;
           }) > 1;
}

single_version_claim version_history::claim(time_point now) const
{
    const auto hash = hash_of_only_versions();
    if (!hash || !is_confirmed(now)) {
        return {};
    }
    time_point since = std::max(*m_known_since, now - retention);
    for (const auto& [service, known] : m_services) {
        for (const auto& [version, state] : known) {
            if (!state.is_listed) {
                since = std::max(since, state.seen);
            }
        }
    }
    return {now - since, *hash};
}

bool version_history::is_confirmed(time_point now) const noexcept
{
    return m_known_since && now - m_confirmed_at <= max_gap;
}

/// Returns a hash of all published services and their versions; nothing if there are none, or if one
/// has several versions.
std::optional<std::uint32_t> version_history::hash_of_only_versions() const
{
    std::string text;
    for (const auto& [service, known] : m_services) {
        bool is_listed = false;
        for (const auto& [version, state] : known) {
            if (state.is_listed && std::exchange(is_listed, true)) {
                return std::nullopt;
            }
            if (state.is_listed) {
                text += service + '\n' + std::to_string(version) + '\n';
            }
        }
    }
    return text.empty() ? std::nullopt : std::optional{short_hash(text)};
}

} // namespace hickorykeel::gateway
