#pragma once

#include "process/clock.h"
#include "process/routing/random_source.h"

#include <chrono>  // milliseconds
#include <cstddef> // size_t
#include <span>    // span
#include <vector>  // vector

namespace hickorykeel::gateway {

struct endpoint_choice_options {
    /// Endpoints whose expected times are within this of the best one count as equal, if the loads
    /// placed by other hosts are up to date.
    duration margin = std::chrono::milliseconds{20};
    /// Growth of the margin with the age of these loads, in which other hosts have sent requests to
    /// the endpoints that seem best. In a simulated region near saturation, 0.1 from 10 ms on made
    /// 0.10 of the first bytes later than 600 ms, 0.2 from 20 ms on 0.06.
    double margin_growth = 0.2;
    duration max_margin = std::chrono::milliseconds{100};
    /// Maximum load of a preferred endpoint, as a multiple of the mean load, with `spare_load`
    /// requests in addition. Without this, the owners of frequent prefixes get a multiple of the
    /// mean.
    double max_preferred_load = 1.15;
    double spare_load = 0.5; ///< requests
};

/// An endpoint that a request may be sent to.
struct endpoint_option {
    duration expected{0}; ///< time to first byte
    double load = 0;      ///< requests under way
};

/// Chooses the endpoint that a request is sent to: the first preferred one that is worse than the
/// best by at most `preference` and doesn't exceed the maximum load; else the better of two random
/// ones among those that count as equal, so that hosts with the same information choose different
/// endpoints. O(options). Thread safe; precondition: no other thread uses `random`, and `options`
/// isn't empty.
///
/// @param preferred indices of the owners of the prompt's shared prefix, first choice first
/// @param preference margin by which they may be worse, e.g. the time to read the prefix again
/// @param peer_loads_age age of the loads that other hosts have reported
/// @return index into `options`
[[nodiscard]] std::size_t choose_endpoint(const std::vector<endpoint_option>& options,
                                          std::span<const std::size_t> preferred,
                                          duration preference, duration peer_loads_age,
                                          random_source& random,
                                          const endpoint_choice_options& settings = {});

} // namespace hickorykeel::gateway
