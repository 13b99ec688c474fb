#pragma once

#include "process/clock.h"

#include <cmath>   // sqrt
#include <cstddef> // size_t

namespace hickorykeel::gateway {

/// What is known of a request that no endpoint can serve in time at present.
struct wait_outlook {
    duration expected{0};  ///< lowest expected time to first byte among the usable endpoints
    duration drain{0};     ///< by which that time falls at most until the end of the wait
    duration limit{0};     ///< on the expected time to first byte at the end of the wait
    duration time_left{0}; ///< until the deadline
};

/// Whether waiting can't help the request: its first byte can't come before the deadline, or the
/// expected time exceeds the limit even after the wait, if nothing is added ahead of the request.
/// Precondition: while the limit falls to its lowest value, it falls no faster than the expected
/// time. Thread safe.
[[nodiscard]] constexpr bool is_hopeless(const wait_outlook& outlook) noexcept
{
    return outlook.expected > outlook.time_left || outlook.expected - outlook.drain > outlook.limit;
}

/// Whether a request with `ahead` requests before it won't be placed within `wait`, if its service
/// begins `per_s` requests per second. Allows for three standard deviations of that number.
/// Precondition: `per_s` and `wait` aren't negative. Thread safe.
[[nodiscard]] inline bool is_out_of_reach(std::size_t ahead, double per_s, duration wait) noexcept
{
    constexpr double deviations = 3;
    const double mean = per_s * to_seconds(wait);
    return static_cast<double>(ahead) >= mean + deviations * std::sqrt(mean) + 1;
}

} // namespace hickorykeel::gateway
