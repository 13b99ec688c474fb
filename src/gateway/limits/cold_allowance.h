#pragma once

#include "process/clock.h"

#include <chrono>  // milliseconds
#include <cstddef> // size_t

namespace hickorykeel::gateway {

/// This host's view of the fleet, from which its allowance for a cold endpoint is derived.
struct cold_ownership {
    /// This host owns the endpoint by rendezvous hashing among the live hosts of its region that
    /// are not leaving.
    bool is_owner = false;
    bool all_hosts_live = false; ///< every host of the region that is known is live
    /// This side of a partition, if there is one, is large enough to send (see `cold_side`).
    bool is_large_side = false;
};

/// Time after its start during which a host sends nothing to cold endpoints. Before it has received
/// heartbeats from the others, a host would take itself for the owner of every endpoint.
inline constexpr duration cold_settling_time = std::chrono::milliseconds{1'200};

/// Requests per second that the owner may send to a cold endpoint while some known host is not
/// live. The fleet may then be partitioned, and each side of the partition may have an owner of its
/// own.
inline constexpr double cold_rate_during_partition = 1;

/// Most sides of a partition that may send to a cold endpoint. The hosts of smaller sides, as of a
/// single host that is cut off from many, send none.
inline constexpr std::size_t max_cold_sides = 4;

/// Returns the requests per second that this host may send to a cold endpoint whose service's
/// cold rate is `rate`: 0 unless this host owns the endpoint, the settling time is over and this
/// side of a partition is large enough.
/// @param uptime time since this host's start
///
/// Thread safe.
[[nodiscard]] constexpr double cold_allowance(const cold_ownership& view, duration uptime,
                                              double rate) noexcept
{
    if (!view.is_owner || !view.is_large_side || uptime < cold_settling_time) {
        return 0;
    }
    return view.all_hosts_live ? rate : cold_rate_during_partition;
}

} // namespace hickorykeel::gateway
