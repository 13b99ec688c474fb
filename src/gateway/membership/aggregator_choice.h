#pragma once

#include <cstddef>     // size_t
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace hickorykeel::gateway {

/// A host that may be chosen. The views refer to the caller's strings.
struct aggregator_candidate {
    std::string_view ip;
    std::string_view failure_domain;
};

/// Chooses the hosts of a region for the work that a few hosts do for all of them: to collect
/// heartbeats, and to read the published configuration from its source.
///
/// The choice depends only on the set of candidates, so hosts with the same membership agree, and
/// the loss of a host leaves the choice of the others unchanged as far as the failure domains
/// allow. The chosen hosts are of as many failure domains as there are, the most preferred first.
///
/// @return ips of up to `max_hosts` hosts
/// Thread safe. Complexity: O(candidates · max_hosts).
[[nodiscard]] std::vector<std::string>
choose_aggregators(const std::vector<aggregator_candidate>& candidates, std::size_t max_hosts);

} // namespace hickorykeel::gateway
