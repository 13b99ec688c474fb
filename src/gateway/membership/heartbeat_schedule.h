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
        std::chrono::milliseconds{200}; ///< between two calls of `choose()`
    /// Hosts of other regions that get a heartbeat at a time, so that a host's bytes between
    /// regions don't grow with the fleet.
    std::size_t max_other_region_hosts = 8;
};

/// Which hosts get a heartbeat now: those of the own region always, the others in turn.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class heartbeat_schedule {
public:
    /// Hosts that get a heartbeat now, by ip.
    struct recipients {
        std::vector<std::string> own_region; ///< and seeds that were never heard
        std::vector<std::string> other_regions;
        duration interval{0}; ///< until those of `other_regions` get the next one
    };

    heartbeat_schedule(std::string own_region, heartbeat_schedule_options options)
        : m_own_region{std::move(own_region)}, m_options{options}
    {
    }

    /// The host at `ip` was heard anew and may not know this one: it gets the next heartbeat.
    void add_new_host(std::string ip) { m_new_hosts.push_back(std::move(ip)); }

    /// `to_all`: nobody has to wait for its turn, since something has just changed. O(hosts).
    [[nodiscard]] recipients choose(const member_table& members, bool to_all);

    [[nodiscard]] duration heartbeat_interval() const noexcept
    {
        return m_options.heartbeat_interval;
    }

private:
    std::string m_own_region;
    heartbeat_schedule_options m_options;
    std::vector<std::string> m_new_hosts; ///< since the last call of `choose()`
    std::size_t m_turn = 0;               ///< place in the list of the other regions' hosts
};

} // namespace hickorykeel::gateway
