#pragma once

#include "version/configuration.h"

#include <array>       // array
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace hickorykeel {

enum class change_kind { added, removed, changed };

/// What an operator should look at twice.
enum class change_warning {
    none,
    organisation_removed, ///< its callers are refused from then on
    key_withdrawn,        ///< callers with this key are refused, connected ones too
    endpoint_leaving,     ///< it gets no new work
    home_moved,           ///< most of the organisation's rights move to another failure domain
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

/// What changes from `before` to `after`, by path. Of an added or removed record only the record
/// itself is listed, and its keys and endpoints where they carry a warning. Revisions don't count.
/// Pure; thread safe; O(n log n) in the size of both.
[[nodiscard]] std::vector<configuration_change> diff(const configuration& before,
                                                     const configuration& after);

} // namespace hickorykeel
