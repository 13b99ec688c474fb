#pragma once

#include "process/clock.h"

#include <algorithm> // min
#include <chrono>    // seconds, milliseconds
#include <thread>    // sleep_for

namespace hickorykeel::tests {

/// Upper bound of every wait.
inline constexpr std::chrono::seconds longest_wait{60};

/// Polls `condition` until it is true or `limit` has passed.
/// @return whether it became true
template <typename Condition>
bool wait_for(Condition condition, duration limit = longest_wait)
{
    constexpr std::chrono::milliseconds interval{2};
    const time_point end = boot_clock::now() + std::min<duration>(limit, longest_wait);
    while (!condition()) {
        if (boot_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(interval);
    }
    return true;
}

} // namespace hickorykeel::tests
