#pragma once

#include "process/clock.h"

#include <algorithm> // min
#include <chrono>    // milliseconds

namespace hickorykeel::gateway {

/// What a host does after it was told to stop.
enum class shutdown_phase {
    admitting, ///< takes requests, of callers that don't know yet that it is stopping
    draining,  ///< refuses new requests, and waits for the open ones
    ending,    ///< ends the requests that are still open
    over,      ///< the process ends
};

/// Longest time for which a stopping host takes requests: nearly three times the time for which
/// callers may cache a response of the directory, since they may use it for three times as long.
inline constexpr duration max_shutdown_admission = std::chrono::milliseconds{2'800};

/// The same as a fraction of the grace. Requests that are taken later might not end in time.
inline constexpr double shutdown_admission_fraction = 0.35;

/// Time before the end of the grace at which open requests are ended.
inline constexpr duration shutdown_ending_time = std::chrono::milliseconds{600};

/// Time before the end of the grace at which the process ends, whatever is still being sent.
inline constexpr duration shutdown_exit_margin = std::chrono::milliseconds{250};

/// Returns the phase at `elapsed` after the stop signal.
/// @param grace time from the stop signal to the kill of the process
/// @param is_idle no request is open, and no byte of a response is unsent
///
/// Thread safe.
[[nodiscard]] constexpr shutdown_phase to_shutdown_phase(duration elapsed, duration grace,
                                                         bool is_idle) noexcept
{
    const auto fraction = std::chrono::duration_cast<duration>(grace * shutdown_admission_fraction);
    if (elapsed < std::min(max_shutdown_admission, fraction)) {
        return shutdown_phase::admitting;
    }
    if (is_idle || elapsed >= grace - shutdown_exit_margin) {
        return shutdown_phase::over;
    }
    return elapsed < grace - shutdown_ending_time ? shutdown_phase::draining
                                                  : shutdown_phase::ending;
}

} // namespace hickorykeel::gateway
