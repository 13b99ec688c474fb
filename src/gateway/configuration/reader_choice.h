#pragma once

#include <cstddef> // size_t
#include <string>  // string
#include <vector>  // vector

namespace hickorykeel::gateway {

/// Which hosts of a region read the published configuration at its source; the others ask them.
///
/// Hosts that know the same hosts agree, and a lost host changes only its own place.
///
/// @param ips of all hosts of the region
/// @param max_readers readers
/// @return ips of the readers. Thread safe.
[[nodiscard]] std::vector<std::string> choose_readers(std::vector<std::string> ips,
                                                      std::size_t max_readers);

} // namespace hickorykeel::gateway
