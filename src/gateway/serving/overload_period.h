#pragma once

#include "process/clock.h"

#include <algorithm> // clamp
#include <chrono>    // milliseconds, seconds

namespace hickorykeel::gateway {

/// Settings of the Retry-After delay of requests refused during an overload.
struct overload_options {
    /// Minimum and maximum delay before the jitter is added.
    duration min_retry_after = std::chrono::milliseconds{700};
    duration max_retry_after = std::chrono::seconds{5};
    /// Time without a refusal that ends the overload period.
    duration quiet_period = std::chrono::milliseconds{1'500};
    double jitter = 0.5; ///< maximum random addition, as a fraction of the delay
};

/// Period in which requests for a service are refused without having been executed, for example for
/// lack of capacity.
///
/// A period that has lasted for some time is likely to last as long again, so the Retry-After delay
/// is the time it has lasted, within bounds, plus jitter: a caller that retried earlier would most
/// likely be refused again.
///
/// Thread safety: none.
class overload_period {
public:
    /// Records a refused request.
    /// @param random uniform in [0, 1); spreads callers that are refused at the same time
    /// @return Retry-After delay for the caller
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
