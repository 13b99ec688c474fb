#pragma once

#include <compare> // strong_ordering
#include <cstdint> // uint64_t

namespace hickorykeel::gateway {

/// A place in the history of the source of the published configuration.
///
/// Revisions rise within an era. When the source is restored from an older copy of itself, a new era
/// begins, in which revisions of the former one are given out again for other contents. So no
/// revision is compared without its era.
struct source_position {
    std::uint64_t era = 0; ///< number of restorations; 0 also if the source doesn't name its era
    std::uint64_t revision = 0; ///< 0: before any contents

    [[nodiscard]] auto operator<=>(const source_position&) const = default;

    /// Whether this is before any contents that can be held.
    [[nodiscard]] bool is_none() const noexcept { return *this == source_position{}; }
};

} // namespace hickorykeel::gateway
