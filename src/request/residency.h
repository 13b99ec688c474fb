#pragma once

#include <algorithm>   // find
#include <span>        // span
#include <string>      // string
#include <string_view> // string_view

namespace hickorykeel {

/// Whether data of a request may be processed in `region`, given the regions of its profile. A
/// profile without regions allows none. Pure; thread safe; linear in the number of regions.
inline bool is_allowed_region(std::span<const std::string> allowed_regions, std::string_view region)
{
    return std::find(allowed_regions.begin(), allowed_regions.end(), region) !=
           allowed_regions.end();
}

} // namespace hickorykeel
