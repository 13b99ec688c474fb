#pragma once

#include "version/configuration.h"

#include <cstdint> // uint64_t
#include <map>     // map
#include <string>  // string
#include <variant> // variant
#include <vector>  // vector

#include <nlohmann/json.hpp>

namespace hickorykeel {

/// The published entries by key, as the platform holds them.
using published_entries = std::map<std::string, nlohmann::json>;

/// One reason why a published state is refused.
struct configuration_fault {
    std::string path;    ///< "profiles/visit-summary/regions/0"
    std::string message; ///< what is wrong and what is allowed
};

/// Accepts a published state whole, or refuses it whole with the path of every fault.
/// Pure; thread safe; linear in the size of the entries.
[[nodiscard]] std::variant<configuration, std::vector<configuration_fault>>
check(std::uint64_t revision, const published_entries& entries);

/// Hex SHA-256 of a caller's key, as `key_digests` holds it. Thread safe.
[[nodiscard]] std::string to_key_digest(const std::string& key);

} // namespace hickorykeel
