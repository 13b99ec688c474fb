#pragma once

#include "version/configuration.h"

#include <cstdint> // uint64_t
#include <map>     // map
#include <string>  // string
#include <variant> // variant
#include <vector>  // vector

#include <nlohmann/json.hpp>

namespace hickorykeel {

/// Published entries by key, as stored by the platform.
using published_entries = std::map<std::string, nlohmann::json>;

/// A validation error in a published state.
struct configuration_fault {
    std::string path;    ///< "profiles/visit-summary/regions/0"
    std::string message; ///< what is wrong and what is allowed
};

/// Validates a published state. Returns the configuration, or all validation errors with their
/// paths; a state with an error is rejected as a whole.
/// Thread safe. Complexity: linear in the size of the entries.
[[nodiscard]] std::variant<configuration, std::vector<configuration_fault>>
check(std::uint64_t revision, const published_entries& entries);

/// Returns the hexadecimal SHA-256 of a caller's key, the form used in `key_digests`. Thread safe.
[[nodiscard]] std::string to_key_digest(const std::string& key);

} // namespace hickorykeel
