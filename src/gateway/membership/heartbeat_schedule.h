#pragma once

#include "gateway/membership/member_table.h"

#include <chrono>  // milliseconds
#include <cstddef> // size_t
#include <string>  // string
#include <utility> // move
#include <vector>  // vector

namespace hickorykeel::gateway {

struct heartbeat_schedule_options {
    duration heartbeat_interval =
        std::chrono::milliseconds{200}; ///< time between calls of `choose()`
    /// Upper bound on the hosts of other regions that are sent a heartbeat per call, new hosts and
    /// calls with `to_all` aside, so that a host's traffic between regions doesn't grow with the
    /// fleet.
    std::size_t max_other_region_hosts = 8;
};

/// Chooses the recipients of each heartbeat: all hosts of the own region, and those of other
/// regions in rotation.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class heartbeat_schedule {
public:
    /// IP addresses of the hosts to send a heartbeat to.
    struct recipients {
        /// With the seeds that are not in the member table, whose region is unknown.
        std::vector<std::string> own_region;
        std::vector<std::string> other_regions;
        /// Maximum time until the next heartbeat to each of `other_regions`.
        duration interval{0};
    };

    heartbeat_schedule(std::string own_region, heartbeat_schedule_options options)
        : m_own_region{std::move(own_region)}, m_options{options}
    {
    }

    /// Includes the host at `ip`, which has just become live and may not know this host, among the
    /// recipients of the next heartbeat.
    void add_new_host(std::string ip) { m_new_hosts.push_back(std::move(ip)); }

    /// Returns the recipients of the heartbeat that is due now. `to_all` selects all hosts, for a
    /// change that each of them should learn at once. O(hosts · log hosts), plus a linear search
    /// among the seeds for each unknown host and among the hosts for each new one.
    [[nodiscard]] recipients choose(const member_table& members, bool to_all);

    [[nodiscard]] duration heartbeat_interval() const noexcept
    {
        return m_options.heartbeat_interval;
    }

private:
    std::string m_own_region;
    heartbeat_schedule_options m_options;
    std::vector<std::string> m_new_hosts; ///< since the last call of `choose()`
    std::size_t m_next = 0;               ///< position in the list of the other regions' hosts
};

} // namespace hickorykeel::gateway
