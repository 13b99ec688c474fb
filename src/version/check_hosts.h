#pragma once

#include "version/check.h"
#include "version/configuration.h"

#include <cstdint> // uint64_t
#include <variant> // variant
#include <vector>  // vector

#include <nlohmann/json.hpp>

namespace hickorykeel {

/// Validates a published list of hosts, whose names must be unique. Returns the list, or all
/// validation errors with their paths ("hosts/3/entry_address"); a list with an error is rejected
/// as a whole.
/// @param hosts JSON list from the platform's response
/// Thread safe. Complexity: O(n log n) in the number of hosts.
[[nodiscard]] std::variant<host_list, std::vector<configuration_fault>>
check_hosts(std::uint64_t revision, const nlohmann::json& hosts);

} // namespace hickorykeel
