#pragma once

#include "gateway/configuration/publication.h"
#include "process/clock.h"
#include "process/routing/random_source.h"

#include <chrono>  // milliseconds, seconds
#include <cstddef> // size_t
#include <map>     // map
#include <string>  // string, to_string
#include <vector>  // vector

namespace hickorykeel::gateway::tests {

/// Endpoints of one service that are replaced by others of the next or the previous software
/// version, at random.
///
/// Thread safety: none.
class released_endpoints {
public:
    static constexpr int versions = 4;

    released_endpoints(std::size_t count, time_point now, random_source& random)
        : m_random{random}, m_endpoints(count, endpoint{"1", now})
    {
        m_next_release = now + span(3'000, 25'000);
    }

    [[nodiscard]] const std::string& version(std::size_t index) const
    {
        return m_endpoints[index].version;
    }

    [[nodiscard]] bool is_running(std::size_t index, time_point now) const
    {
        return now < m_endpoints[index].ends;
    }

    /// Returns the entries that were published at `time`, by index.
    [[nodiscard]] std::vector<std::size_t> published(time_point time) const
    {
        std::vector<std::size_t> found;
        for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
            if (m_endpoints[i].listed <= time && time < m_endpoints[i].unlisted) {
                found.push_back(i);
            }
        }
        return found;
    }

    [[nodiscard]] std::map<std::string, endpoint_entry>
    to_entries(const std::vector<std::size_t>& indexes, const std::string& service) const
    {
        std::map<std::string, endpoint_entry> entries;
        for (const std::size_t i : indexes) {
            endpoint_entry& entry = entries[std::to_string(i)];
            entry.service = service;
            entry.software_version = m_endpoints[i].version;
        }
        return entries;
    }

    /// Replaces half of the endpoints, or all, one after the other, when the time has come.
    void update(time_point now)
    {
        if (now < m_next_release) {
            return;
        }
        m_next_release = now + span(4'000, 25'000);
        const bool is_forwards = m_version == 1 || (m_version < versions && is_likely(0.6));
        m_version += is_forwards ? 1 : -1;
        const double share = is_likely(0.5) ? 1.0 : 0.5;
        for (std::size_t i = m_endpoints.size(); i-- > 0;) {
            if (m_endpoints[i].unlisted == time_point::max() && is_likely(share)) {
                m_endpoints[i].unlisted = now + std::chrono::milliseconds{200};
                m_endpoints[i].ends = now + span(300, 2'000);
                m_endpoints.push_back({std::to_string(m_version), now});
                now += span(50, 300);
            }
        }
    }

private:
    struct endpoint {
        std::string version;
        time_point listed;
        time_point unlisted = time_point::max();
        time_point ends = time_point::max();
    };

    bool is_likely(double probability) { return random_fraction(m_random) < probability; }
    std::chrono::milliseconds span(int from_ms, int to_ms)
    {
        return std::chrono::milliseconds{
            from_ms +
            static_cast<int>(random_index(m_random, static_cast<std::size_t>(to_ms - from_ms)))};
    }

    random_source& m_random;
    std::vector<endpoint> m_endpoints;
    int m_version = 1;
    time_point m_next_release{};
};

} // namespace hickorykeel::gateway::tests
