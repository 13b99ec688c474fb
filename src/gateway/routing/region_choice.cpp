#include "gateway/routing/region_choice.h"

#include "gateway/routing/rendezvous.h"

#include <algorithm> // find_if
#include <cmath>     // ldexp, log

namespace hickorykeel::gateway {

std::string home_region(std::uint64_t id, const std::map<std::string, double>& capacities)
{
    std::string best;
    double best_score = 0;
    for (const auto& [region, capacity] : capacities) {
        // weighted rendezvous hashing: an exponential variate per region; the smallest one relative
        // to the region's capacity wins
        const double uniform =
            std::ldexp(static_cast<double>(rendezvous_weight(id, region) >> 11U) + 0.5, -53);
        const double score = -capacity / std::log(uniform);
        if (score > best_score) {
            best = region;
            best_score = score;
        }
    }
    return best;
}

std::optional<std::size_t> choose_region(std::optional<duration> own,
                                         const std::vector<region_option>& others,
                                         duration objective, const region_choice_options& options)
{
    const auto expected_at = [&options](const region_option& option) {
        return option.expected_wait + round_trip_to(option, options);
    };
    const duration max_wait = from_seconds(to_seconds(objective) * options.max_objective_fraction);
    const auto home = std::find_if(others.begin(), others.end(), [&](const region_option& option) {
        return option.is_home && option.free_places > 0 && expected_at(option) <= max_wait;
    });
    if (home != others.end()) {
        return static_cast<std::size_t>(home - others.begin());
    }
    if (own && *own <= max_wait) {
        return std::nullopt;
    }
    std::optional<std::size_t> best;
    for (std::size_t at = 0; at < others.size(); ++at) {
        const region_option& option = others[at];
        if (option.free_places == 0 || (own && expected_at(option) >= *own)) {
            continue;
        }
        if (!best || expected_at(option) < expected_at(others[*best])) {
            best = at;
        }
    }
    return best;
}

} // namespace hickorykeel::gateway
