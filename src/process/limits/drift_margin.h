#pragma once

#include "process/clock.h"

#include <chrono> // milliseconds

namespace hickorykeel {

/// Extends a term so that it ends at the granter after its end at the holder, as both clocks may
/// drift. Thread safe.
/// @param drift  maximum drift of a clock, as a fraction of the time passed
[[nodiscard]] constexpr duration with_drift_margin(duration term, double drift) noexcept
{
    return from_seconds(to_seconds(term) * (1 + 2 * drift)) + std::chrono::milliseconds{1};
}

} // namespace hickorykeel
