#pragma once

#include "process/clock.h"

#include <algorithm> // max, min

namespace hickorykeel::gateway {

/// Settings of the limit on the expected time to first byte, above which a request isn't sent to an
/// endpoint. During an overload, a queue longer than the objective makes every response late and
/// serves no caller better than a short queue.
struct first_byte_limit_options {
    /// Fraction of the objective that is allowed even if the objective can no longer be met, after
    /// time in the queue or a failed attempt.
    double late_fraction = 0.5;
    /// The same for a request that is the only one waiting, at the end of its wait.
    double last_late_fraction = 1;
    /// Fraction of the time left until the deadline that this larger limit must not exceed.
    double last_deadline_fraction = 0.5;
};

/// Returns the maximum time to first byte, counted from now, of a request whose first byte is due
/// within `objective` of its receipt and that has taken `age` so far. Thread safe.
[[nodiscard]] inline duration
max_time_to_first_byte(duration objective, duration age,
                       const first_byte_limit_options& options) noexcept
{
    return std::max(objective - age, from_seconds(to_seconds(objective) * options.late_fraction));
}

/// Returns the same for a request that is the only one waiting, at the end of its wait: if its
/// deadline is far away, a late response is better for its caller than none. Thread safe.
[[nodiscard]] inline duration
max_time_to_last_first_byte(duration objective, duration age, duration time_left,
                            const first_byte_limit_options& options) noexcept
{
    const duration late =
        std::min(from_seconds(to_seconds(objective) * options.last_late_fraction),
                 from_seconds(to_seconds(time_left) * options.last_deadline_fraction));
    return std::max(max_time_to_first_byte(objective, age, options), late);
}

} // namespace hickorykeel::gateway
