#pragma once

#include "process/clock.h"

#include <algorithm> // lower_bound, max
#include <cstddef>   // size_t
#include <vector>    // vector

namespace hickorykeel::tests {

/// Most arrivals within a time of `length`, of those from `first` on. Precondition: `arrivals` is
/// sorted. Thread safe.
inline std::size_t most_arrivals(const std::vector<time_point>& arrivals, time_point first,
                                 duration length)
{
    std::size_t most = 0;
    auto oldest = std::ranges::lower_bound(arrivals, first);
    for (auto it = oldest; it != arrivals.end(); ++it) {
        while (*it - *oldest >= length) {
            ++oldest;
        }
        most = std::max(most, static_cast<std::size_t>(it - oldest) + 1);
    }
    return most;
}

} // namespace hickorykeel::tests
