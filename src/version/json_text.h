#pragma once

#include <cstddef>     // size_t
#include <string_view> // string_view

#include <nlohmann/json.hpp>

namespace hickorykeel {

/// Lists and objects inside each other that are read from outside. The library walks values by
/// recursion, so that deeper ones would overflow the stack.
inline constexpr std::size_t maximum_json_depth = 128;

/// Reads a JSON text that came from outside. Pure; thread safe; linear in its size.
/// @return a discarded value where the text is no JSON, or nested deeper than maximum_json_depth
[[nodiscard]] nlohmann::json parse_json(std::string_view text);

} // namespace hickorykeel
