#pragma once

#include "process/clock.h"

#include <chrono>   // milliseconds
#include <cstdint>  // uint32_t
#include <map>      // map
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace hickorykeel::gateway {

/// A region whose hosts a request may be forwarded to.
struct region_option {
    std::string region;
    duration expected_wait{0}; ///< expected time to first byte of a typical request there
    std::uint32_t free_places = 0;
    bool is_home = false; ///< home region of the prompt's prefix; preferred, so that only
                          ///< one region processes the prefix
    bool is_own = false;  ///< this host's region, whose other hosts reach its endpoints
};

/// Returns the home region of the prompts that begin with the prefix `id`, given the capacities by
/// region. Hosts that know the same capacities agree on it, and each region is home to prompts in
/// proportion to its capacity. Empty if no region has capacity. O(regions). Thread safe.
[[nodiscard]] std::string home_region(std::uint64_t id,
                                      const std::map<std::string, double>& capacities);

struct region_choice_options {
    /// Time that the network adds to a request that is forwarded to another region, both ways.
    duration round_trip = std::chrono::milliseconds{170};
    /// The same for another host of this region.
    duration round_trip_in_region = std::chrono::milliseconds{2};
    /// Maximum expected time to first byte, as a fraction of the objective, at which the home
    /// region (with the round trip) or else the own region is chosen without comparing regions.
    double max_objective_fraction = 0.55;
};

/// Returns the time that the network adds to a request that is forwarded to a host of the region,
/// both ways. Thread safe.
[[nodiscard]] inline duration round_trip_to(const region_option& option,
                                            const region_choice_options& options) noexcept
{
    return option.is_own ? options.round_trip_in_region : options.round_trip;
}

/// Chooses the region that serves a request: the home region if its expected time to first byte,
/// with the round trip, is within `max_objective_fraction` of the objective; else the own region if
/// its time is within that fraction; else the region that is expected to respond first. Other
/// regions without a free slot are left out. O(others).
///
/// @param own expected time to the first byte in the own region; empty: this host can't have the
/// request served there now
/// @param objective time to first byte that the response should meet
/// @return index into `others`; nothing: the own region, or, if `own` is empty, no region at all
/// Thread safe.
[[nodiscard]] std::optional<std::size_t> choose_region(std::optional<duration> own,
                                                       const std::vector<region_option>& others,
                                                       duration objective,
                                                       const region_choice_options& options);

} // namespace hickorykeel::gateway
