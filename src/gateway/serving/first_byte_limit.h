#pragma once

#include "process/clock.h"

#include <algorithm> // max

namespace hickorykeel::gateway {

/// How long an answer may be expected to take to its first byte, so that the request is sent at
/// all. In an overload a queue that is longer than the objective makes every answer late, and so
/// serves nobody better than a short one.
struct first_byte_limit_options {
    /// Part of the objective that is allowed even where the objective can no longer be met: after a
    /// wait or a failed try.
    double late_fraction = 0.5;
};

/// Longest time to the first byte, counted from now, of a request that callers want begun within
/// `objective` and that has taken `age` so far. Thread safe.
[[nodiscard]] inline duration
max_time_to_first_byte(duration objective, duration age,
                       const first_byte_limit_options& options) noexcept
{
    return std::max(objective - age, from_seconds(to_seconds(objective) * options.late_fraction));
}

} // namespace hickorykeel::gateway
