#pragma once

#include "process/clock.h"

#include <chrono>   // milliseconds
#include <cstdint>  // uint32_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace hickorykeel::gateway {

/// Another region that may serve a request.
struct region_option {
    std::string region;
    duration expected_wait{0}; ///< until a typical request is begun there
    std::uint32_t free_places = 0;
};

struct region_choice_options {
    /// What the way to another region and back adds.
    duration distance = std::chrono::milliseconds{170};
    /// Part of the objective that the own region may take before another one is considered.
    double patience = 0.55;
};

/// Chooses the region: the own one while it is quick enough, otherwise the quickest.
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
