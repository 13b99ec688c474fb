#pragma once

#include <cstdint> // uint64_t
#include <tuple>   // tie

namespace hickorykeel::gateway {

/// A place in the history of the source of the published configuration.
///
/// Revisions rise within an era. When the source is restored from an older copy of itself, a new era
/// begins, in which revisions of the former one are given out again for other contents. So no
/// revision is compared without its era.
struct source_position {
    std::uint64_t era = 0; ///< number of restorations; 0 also if the source doesn't name its era
    std::uint64_t revision = 0; ///< 0: before any contents

    /// @name order in the history
    /// @{
    [[nodiscard]] bool operator==(const source_position&) const = default;
    [[nodiscard]] bool operator<(const source_position& rhs) const noexcept
    {
        return std::tie(era, revision) < std::tie(rhs.era, rhs.revision);
    }
    [[nodiscard]] bool operator>(const source_position& rhs) const noexcept { return rhs < *this; }
    [[nodiscard]] bool operator<=(const source_position& rhs) const noexcept
    {
        return !(rhs < *this);
    }
    [[nodiscard]] bool operator>=(const source_position& rhs) const noexcept
    {
        return !(*this < rhs);
    }
    /// @}

    /// Whether this is before any contents that can be held.
    [[nodiscard]] bool is_none() const noexcept { return *this == source_position{}; }
};

} // namespace hickorykeel::gateway
