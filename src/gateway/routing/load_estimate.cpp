#include "gateway/routing/load_estimate.h"

#include <algorithm> // max, min
#include <cmath>     // abs, erfc, exp, exp2, sqrt
#include <numbers>   // pi, sqrt2

namespace hickorykeel::gateway {

namespace {

/// Returns the weight of a value of this age, which is 1 when it is new. Negative ages count as 0.
double weight_at(duration age, duration half_life)
{
    return std::exp2(-std::max(0.0, to_seconds(age)) / to_seconds(half_life));
}

constexpr double min_residence_s = 0.01;

/// Returns the mean of the positive part of a normal variate with this mean and standard deviation.
double mean_excess(double mean, double deviation)
{
    constexpr double negligible = 4; // deviations
    if (deviation <= 0 || std::abs(mean) > negligible * deviation) {
        return std::max(0.0, mean);
    }
    const double z = mean / deviation;
    const double density = std::exp(-z * z / 2) / std::sqrt(2 * std::numbers::pi);
    return deviation * density + mean * std::erfc(-z / std::numbers::sqrt2) / 2;
}

} // namespace

load_estimate estimate_load(const std::optional<aged_statement>& stated,
                            const outstanding_load& outstanding, const service_means& means,
                            std::uint32_t slots, const load_estimate_options& options)
{
    load_estimate result;
    const double tokens_weight = weight_at(outstanding.peers_age, options.tokens_half_life);
    result.unread_tokens = outstanding.own.waiting_tokens + means.peer_tokens +
                           tokens_weight * (outstanding.peers.waiting_tokens - means.peer_tokens);
    result.pace = means.pace;
    double requests = static_cast<double>(outstanding.own.active) + outstanding.peers.active;
    double stated_waiting = 0;
    if (stated) {
        const load_statement& load = stated->load;
        const double weight = weight_at(stated->age, options.statement_half_life);
        const double since = static_cast<double>(stated->sent_since) - stated->ended_since;
        // this host knows its own requests better than an earlier statement does
        const double stated_requests = std::max<double>(
            outstanding.own.active, static_cast<double>(load.running) + load.waiting + since);
        requests += weight * (stated_requests - requests);
        if (load.waiting > 0) {
            stated_waiting = weight * (static_cast<double>(load.waiting) + stated->sent_since);
        }
        slots = load.slots > 0 ? load.slots : slots;
        result.pace += weight_at(stated->age, options.pace_half_life) * (load.pace - means.pace);
    }
    // variance of arrivals and ends, which are independent and equal in number
    const double changes = 2 * requests * std::max(0.0, to_seconds(outstanding.peers_age)) /
                           std::max(to_seconds(means.residence), min_residence_s);
    const double beyond_slots =
        mean_excess(requests - static_cast<double>(slots), std::sqrt(changes));
    result.waiting = std::min(requests, std::max(stated_waiting, beyond_slots));
    result.running = requests - result.waiting;
    return result;
}

} // namespace hickorykeel::gateway
