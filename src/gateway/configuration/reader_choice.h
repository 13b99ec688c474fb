#pragma once

#include <cstddef> // size_t
#include <string>  // string
#include <vector>  // vector

namespace hickorykeel::gateway {

/// Chooses the hosts of a region that read the published configuration from its source; the other
/// hosts query these readers.
///
/// The choice depends only on the set of ips, so hosts with the same membership agree. A lost host
/// leaves the remaining readers unchanged.
///
/// @param ips ips of all hosts of the region
/// @param max_readers upper bound on the number of readers
/// @return ips of the readers
///
/// Thread safe. Complexity: O(n log n) in the number of ips.
[[nodiscard]] std::vector<std::string> choose_readers(std::vector<std::string> ips,
                                                      std::size_t max_readers);

} // namespace hickorykeel::gateway
