#pragma once

#include <cstddef>     // size_t
#include <string_view> // string_view

#include <nlohmann/json.hpp>

namespace hickorykeel {

/// Maximum nesting depth of JSON from other processes. The library traverses values recursively, so
/// deeper ones could overflow the stack.
inline constexpr std::size_t maximum_json_depth = 128;

/// Parses JSON from another process. Thread safe. Complexity: linear in its size.
/// @return a discarded value if the text isn't JSON or is nested deeper than maximum_json_depth
[[nodiscard]] nlohmann::json parse_json(std::string_view text);

} // namespace hickorykeel
