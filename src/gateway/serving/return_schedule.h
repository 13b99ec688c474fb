#pragma once

#include "process/clock.h"

#include <algorithm> // clamp, max, min
#include <chrono>    // milliseconds, seconds
#include <cstdint>   // uint8_t

namespace hickorykeel::gateway {

/// Settings of the return times given to refused callers.
struct return_options {
    duration min_delay = std::chrono::milliseconds{100};
    duration max_delay = std::chrono::seconds{5};
    /// Maximum random addition, as a fraction of the caller's interval.
    double jitter = 0.5;
    /// Fraction of the time that a caller has left up to which it is expected to observe a delay.
    double heeded_fraction = 1.0 / 3;
    /// Subtracted from the time left, since the refusal takes time to reach the caller.
    duration transit_margin = std::chrono::milliseconds{50};
    /// Number of callers that are told to return before their turn, relative to those that return
    /// in turn, some of whom don't return.
    double early_fraction = 0.25;
};

/// A caller that is refused.
struct refused_caller {
    duration first_wait{0}; ///< time until there is room for one more request
    duration interval{0};   ///< time in which room for this caller's request becomes free
    duration time_left{0};  ///< until its deadline
};

enum class return_kind : std::uint8_t {
    in_turn,  ///< room is expected at that time
    early,    ///< there is room only if callers that should return in turn don't
    too_late, ///< room is expected only after the longest delay that the caller observes
};

/// What a refused caller is told.
struct return_time {
    duration delay{0};
    return_kind kind = return_kind::in_turn;
};

/// Return times of refused callers: one after the other, at the rate at which room becomes free.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class return_schedule {
public:
    /// Longest delay returned by `next()`.
    static constexpr duration max_delay = std::chrono::seconds{5};

    /// Returns the delay for the next caller that is refused for want of an endpoint's rate.
    /// Precondition: `per_s` is above 0.
    /// @param first_wait time until one more request is admitted
    /// @param per_s      requests per second that are admitted from then on
    duration next(duration first_wait, double per_s, time_point now)
    {
        const time_point at = std::min(std::max(now + first_wait, m_next), now + max_delay);
        m_next = at + from_seconds(1 / per_s);
        return at - now;
    }

    /// Returns when `caller` may return. Only callers that return in turn take a place in the
    /// schedule, so that others don't delay those after them.
    /// @param random uniform in [0, 1); spreads callers that have the same place at different hosts
    return_time advise(const return_options& options, const refused_caller& caller, time_point now,
                       double random)
    {
        const time_point earliest = now + std::max(caller.first_wait, options.min_delay);
        const time_point at = std::min(std::max(earliest, m_next), now + options.max_delay);
        const duration jitter = from_seconds(to_seconds(caller.interval) * options.jitter * random);
        const duration delay = std::min(at - now + jitter, options.max_delay);
        const duration latest = std::min(
            options.max_delay, from_seconds(to_seconds(caller.time_left - options.transit_margin) *
                                            options.heeded_fraction));
        if (delay <= latest) {
            m_next = at + caller.interval;
            return {delay, return_kind::in_turn};
        }
        const time_point early_at = std::max(earliest, m_next_early);
        if (early_at - now > latest) {
            return {delay, return_kind::too_late};
        }
        m_next_early =
            early_at + from_seconds(to_seconds(caller.interval) / options.early_fraction);
        return {std::max(latest - jitter, options.min_delay), return_kind::early};
    }

private:
    time_point m_next{};       ///< next free place of a caller that returns in turn
    time_point m_next_early{}; ///< the same for callers that return before their turn
};

} // namespace hickorykeel::gateway
