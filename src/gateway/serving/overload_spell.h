#pragma once

#include "process/clock.h"

#include <algorithm> // clamp
#include <chrono>    // milliseconds, seconds

namespace hickorykeel::gateway {

/// Terms of the time after which a refused caller is to come back.
struct overload_options {
    duration least_pause = std::chrono::milliseconds{700};
    duration longest_pause = std::chrono::seconds{5};
    duration calm = std::chrono::milliseconds{1'500}; ///< without a refusal: the overload is over
    double spread = 0.5;                              ///< part of the pause that is drawn at random
};

/// A spell in which a service refuses requests for want of places.
///
/// A spell that has lasted for some time is likely to last as long again, so callers are asked to
/// stay away for that long: one that came back earlier would most likely be refused once more.
///
/// Thread safety: none.
class overload_spell {
public:
    /// A request is refused.
    /// @param drawn uniform in [0, 1)
    /// @return time after which the caller may find a place
    duration on_refusal(const overload_options& options, time_point now, double drawn)
    {
        if (now - m_last >= options.calm) {
            m_begun = now;
        }
        m_last = now;
        const duration pause =
            std::clamp<duration>(now - m_begun, options.least_pause, options.longest_pause);
        return from_seconds(to_seconds(pause) * (1 + options.spread * drawn));
    }

private:
    time_point m_begun{};
    time_point m_last{};
};

} // namespace hickorykeel::gateway
