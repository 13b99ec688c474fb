#pragma once

#include "process/clock.h"

#include <chrono> // milliseconds

namespace hickorykeel::gateway {

/// What a host believes when it decides how much a cold endpoint may get from it.
struct cold_ownership {
    bool is_owner = false;       ///< no live host of the region has a better right
    bool sees_all_hosts = false; ///< every host that may be running is heard
    duration uptime{0};          ///< since this host's start
};

/// A host that has just started may own every endpoint only because it has heard nobody yet.
inline constexpr duration cold_settling_time = std::chrono::milliseconds{1'200};

/// Requests a second that a host which doesn't hear all others may send to a cold endpoint: there
/// may be as many owners as there are sides of a cut.
inline constexpr double cold_rate_during_partition = 1;

/// Requests a second that this host may send to a cold endpoint that bears `rate`. Thread safe.
[[nodiscard]] constexpr double cold_allowance(const cold_ownership& view, double rate) noexcept
{
    if (!view.is_owner || view.uptime < cold_settling_time) {
        return 0;
    }
    return view.sees_all_hosts ? rate : cold_rate_during_partition;
}

} // namespace hickorykeel::gateway
