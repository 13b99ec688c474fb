#pragma once

#include "process/clock.h"

#include <algorithm> // max, min
#include <chrono>    // seconds

namespace hickorykeel::gateway {

/// When callers that are refused for want of an endpoint's rate may return: one after the other, as
/// the rate admits them.
///
/// Thread safety: none.
class return_schedule {
public:
    /// Longest delay that a caller is told.
    static constexpr duration max_delay = std::chrono::seconds{5};

    /// Returns the delay for the next caller.
    /// Precondition: `per_s` is above 0.
    /// @param first_wait time until one more request is admitted
    /// @param per_s      requests per second that are admitted from then on
    duration next(duration first_wait, double per_s, time_point now)
    {
        const time_point at = std::min(std::max(now + first_wait, m_next), now + max_delay);
        m_next = at + from_seconds(1 / per_s);
        return at - now;
    }

private:
    time_point m_next{};
};

} // namespace hickorykeel::gateway
