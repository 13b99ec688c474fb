#pragma once

#include "process/clock.h"

#include <algorithm> // clamp
#include <chrono>    // milliseconds, seconds

namespace hickorykeel::gateway {

/// Terms of the time after which a refused caller is to come back.
struct overload_options {
    duration min_retry_after = std::chrono::milliseconds{700};
    duration max_retry_after = std::chrono::seconds{5};
    duration quiet_period =
        std::chrono::milliseconds{1'500}; ///< without a refusal: the overload is over
    double jitter = 0.5;                  ///< part of the pause that is drawn at random
};

/// A spell in which a service refuses requests for want of places.
///
/// A spell that has lasted for some time is likely to last as long again, so callers are asked to
/// stay away for that long: one that came back earlier would most likely be refused once more.
///
/// Thread safety: none.
class overload_period {
public:
    /// A request is refused.
    /// @param drawn uniform in [0, 1)
    /// @return time after which the caller may find a place
    duration on_refusal(const overload_options& options, time_point now, double random)
    {
        if (now - m_last_refusal >= options.quiet_period) {
            m_started = now;
        }
        m_last_refusal = now;
        const duration retry_after =
            std::clamp<duration>(now - m_started, options.min_retry_after, options.max_retry_after);
        return from_seconds(to_seconds(retry_after) * (1 + options.jitter * random));
    }

private:
    time_point m_started{};
    time_point m_last_refusal{};
};

} // namespace hickorykeel::gateway
