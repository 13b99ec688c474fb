#pragma once

#include "version/configuration.h"

#include <array>       // array
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace hickorykeel {

enum class change_kind { added, removed, changed };

/// Differences that an operator should review, since callers may notice them.
enum class change_warning {
    none,
    organisation_removed, ///< its callers are refused from then on
    key_withdrawn,        ///< callers with this key are refused, connected ones too
    endpoint_leaving,     ///< it receives no new requests
    home_moved,           ///< the largest share of its quota moves to another failure domain
};

/// Names for output, by enumerator.
inline constexpr std::array<std::string_view, 3> change_kind_names{"added", "removed", "changed"};
inline constexpr std::array<std::string_view, 5> change_warning_names{
    "", "organisation removed", "key withdrawn", "endpoint leaving", "home moved"};

/// One difference between two configurations.
struct configuration_change {
    change_kind kind = change_kind::changed;
    std::string path;   ///< "organisations/offices/rate", "targets/assistant/endpoints/as-1"
    std::string before; ///< empty where added
    std::string after;  ///< empty where removed
    change_warning warning = change_warning::none;
};

/// Returns the differences from `before` to `after`, ordered by path. For an added or removed
/// record, only the record itself is listed, and those of its keys and endpoints that have a
/// warning. Revisions are ignored. Thread safe. Complexity: O(n log n) in the size of both.
[[nodiscard]] std::vector<configuration_change> diff(const configuration& before,
                                                     const configuration& after);

} // namespace hickorykeel
