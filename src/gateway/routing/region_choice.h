#pragma once

#include "process/clock.h"

#include <chrono>   // milliseconds
#include <cstdint>  // uint32_t
#include <map>      // map
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace hickorykeel::gateway {

/// Another region that may serve a request.
struct region_option {
    std::string region;
    duration expected_wait{0}; ///< until a typical request is begun there
    std::uint32_t free_places = 0;
    bool is_home = false; ///< where requests with the same prompt go, so that it is read once
};

/// Home region of the prompts that begin with the prefix `id`: hosts that know the same capacities
/// agree on it, and each region is home to prompts in proportion to its capacity. Empty: no region
/// has any. Thread safe.
[[nodiscard]] std::string home_region(std::uint64_t id,
                                      const std::map<std::string, double>& capacities);

struct region_choice_options {
    /// What the way to another region and back adds.
    duration round_trip = std::chrono::milliseconds{170};
    /// Part of the objective that the home region, or the own one, may take before another one is
    /// considered.
    double max_objective_fraction = 0.55;
};

/// Chooses the region: the home region while it is quick enough, then the own one while that is,
/// otherwise the quickest.
///
/// @param own expected time to the first byte in the own region; empty: it can't serve now
/// @param objective within which the answer should begin
/// @return index into `others`, or nothing: the own region, or, without `own`, none can serve now
/// Thread safe.
[[nodiscard]] std::optional<std::size_t> choose_region(std::optional<duration> own,
                                                       const std::vector<region_option>& others,
                                                       duration objective,
                                                       const region_choice_options& options);

} // namespace hickorykeel::gateway
