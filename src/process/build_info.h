#pragma once

#include <string_view> // string_view

namespace hickorykeel {

/// Version of this build. Thread safe.
std::string_view build_version() noexcept;

} // namespace hickorykeel
