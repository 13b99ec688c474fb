#pragma once

#include "process/clock.h"

#include <algorithm> // max
#include <chrono>    // seconds
#include <cmath>     // exp
#include <optional>  // optional

namespace hickorykeel::gateway {

/// Recent rate at which a service begins to answer requests of this host: first bytes of successful
/// responses per second, exponentially weighted.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class first_byte_rate {
public:
    /// Records the first byte of a response. `now` must not decrease from call to call.
    void on_first_byte(time_point now)
    {
        const double weight = decayed_weight(now);
        if (weight < min_weight) {
            m_since = now;
        }
        m_weight = weight + 1;
        m_updated = now;
    }

    /// Returns the first bytes per second, or nothing if there were too few recently.
    [[nodiscard]] std::optional<double> per_s(time_point now) const
    {
        if (m_weight == 0) {
            return std::nullopt;
        }
        // until the observation is much longer than the time constant, its weights are normalised
        const double observed = to_seconds(std::max<duration>(now - m_since, min_observation));
        const double seconds = time_constant_s * (1 - std::exp(-observed / time_constant_s));
        const double rate = decayed_weight(now) / seconds;
        return rate < min_rate ? std::nullopt : std::optional{rate};
    }

private:
    static constexpr double time_constant_s = 1.5;
    static constexpr duration min_observation = std::chrono::seconds{1};
    static constexpr double min_rate = 0.2;    ///< per second; one in the longest return delay
    static constexpr double min_weight = 0.05; ///< below it, a new observation begins

    [[nodiscard]] double decayed_weight(time_point now) const
    {
        const double elapsed = to_seconds(std::max<duration>(now - m_updated, duration{0}));
        return m_weight * std::exp(-elapsed / time_constant_s);
    }

    double m_weight = 0; ///< sum of the weights of the first bytes, as of `m_updated`
    time_point m_updated{};
    time_point m_since{}; ///< start of the observation
};

} // namespace hickorykeel::gateway
