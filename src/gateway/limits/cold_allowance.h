#pragma once

#include "process/clock.h"

#include <chrono> // milliseconds

namespace hickorykeel::gateway {

/// This host's view of the fleet, from which its allowance for a cold endpoint is derived.
struct cold_ownership {
    /// This host owns the endpoint by rendezvous hashing among the live hosts of its region that
    /// are not leaving.
    bool is_owner = false;
    bool all_hosts_live = false; ///< every known host is live
    duration uptime{0};          ///< time since this host's start
};

/// Time after its start during which a host sends nothing to cold endpoints. Before it has received
/// heartbeats from the others, a host would take itself for the owner of every endpoint.
inline constexpr duration cold_settling_time = std::chrono::milliseconds{1'200};

/// Requests per second that the owner may send to a cold endpoint while some known host is not
/// live. The fleet may then be partitioned, and each side of the partition may have an owner of its
/// own.
inline constexpr double cold_rate_during_partition = 1;

/// Returns the requests per second that this host may send to a cold endpoint whose service's
/// cold rate is `rate`: 0 unless this host owns the endpoint and the settling time is over.
/// Thread safe.
[[nodiscard]] constexpr double cold_allowance(const cold_ownership& view, double rate) noexcept
{
    if (!view.is_owner || view.uptime < cold_settling_time) {
        return 0;
    }
    return view.all_hosts_live ? rate : cold_rate_during_partition;
}

} // namespace hickorykeel::gateway
