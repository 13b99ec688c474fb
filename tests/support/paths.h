#pragma once

#include <string> // string

namespace hickorykeel::tests {

/// Absolute path of a file or folder of the source tree.
/// @param relative  path from the root of the tree, without a leading slash
[[nodiscard]] std::string source_path(const std::string& relative);

/// Absolute path of a program that the build made.
/// @param name  for example "hickorykeel-entry"
[[nodiscard]] std::string program_path(const std::string& name);

} // namespace hickorykeel::tests
