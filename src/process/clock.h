#pragma once

#include <chrono>  // nanoseconds, duration, milliseconds
#include <cstdint> // int64_t
#include <ctime>   // clock_gettime, CLOCK_BOOTTIME

namespace hickorykeel {

/// Clock that goes on while the machine sleeps or the process is stopped, so a term that ended
/// during a pause is seen as ended. Satisfies the standard's Clock requirements.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// Current time. Thread safe.
    static time_point now() noexcept
    {
        std::timespec value{};
        clock_gettime(CLOCK_BOOTTIME, &value);
        return time_point{std::chrono::seconds{value.tv_sec} +
                          std::chrono::nanoseconds{value.tv_nsec}};
    }
};

/// Moment and span of the decision code. Tests make their own moments.
using time_point = boot_clock::time_point;
using duration = boot_clock::duration;

/// Nanoseconds since the clock's origin, for messages.
constexpr std::uint64_t to_stamp(time_point moment) noexcept
{
    return static_cast<std::uint64_t>(moment.time_since_epoch().count());
}

constexpr time_point from_stamp(std::uint64_t stamp) noexcept
{
    return time_point{duration{static_cast<std::int64_t>(stamp)}};
}

/// Seconds as a floating-point number, for rates.
constexpr double to_seconds(duration span) noexcept
{
    return std::chrono::duration<double>(span).count();
}

/// Whole milliseconds, rounded towards zero, for messages.
constexpr std::chrono::milliseconds to_milliseconds(duration span) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span);
}

/// Converts a span that may be computed from what clients send: it is limited to 30 years either way,
/// which can still be added to a point in time. NaN, as of a division of 0 by 0, is the longest span.
constexpr duration from_seconds(double seconds) noexcept
{
    constexpr double max_seconds = 1e9;
    if (!(seconds < max_seconds)) {
        seconds = max_seconds;
    }
    else if (seconds < -max_seconds) {
        seconds = -max_seconds;
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

/// Largest relative error between the clocks of two hosts that the leases allow for.
inline constexpr double clock_drift_bound = 0.001;

} // namespace hickorykeel
