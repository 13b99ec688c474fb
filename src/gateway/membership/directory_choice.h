#pragma once

#include <cstddef> // size_t
#include <map>     // map
#include <string>  // string
#include <vector>  // vector

namespace hickorykeel::gateway {

/// A host that takes callers.
struct directory_candidate {
    std::string address;
    std::string failure_domain;
    std::string region;
};

/// Where the caller stands, and where its requests may go.
struct directory_caller {
    std::string failure_domain;
    std::string region;
    std::map<std::string, unsigned>
        home_routes; ///< by region: routes that have it among their homes
};

/// Addresses for a caller: of its failure domain, else of its region, else of the regions that are
/// home to most of its routes. Empty only where there are no candidates. Thread safe.
[[nodiscard]] std::vector<std::string>
choose_addresses(const std::vector<directory_candidate>& candidates, const directory_caller& caller,
                 std::size_t max_addresses);

} // namespace hickorykeel::gateway
