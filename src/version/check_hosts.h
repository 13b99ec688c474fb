#pragma once

#include "version/check.h"
#include "version/configuration.h"

#include <cstdint> // uint64_t
#include <variant> // variant
#include <vector>  // vector

#include <nlohmann/json.hpp>

namespace hickorykeel {

/// Accepts a published list of hosts whole, or refuses it whole with the path of every fault
/// ("hosts/3/entry_address"). Names must differ.
/// @param hosts the JSON list as the platform answers it
/// Pure; thread safe; O(n log n) in the number of hosts.
[[nodiscard]] std::variant<host_list, std::vector<configuration_fault>>
check_hosts(std::uint64_t revision, const nlohmann::json& hosts);

} // namespace hickorykeel
