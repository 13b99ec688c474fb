#pragma once

#include "process/clock.h"

#include <cstdint>     // uint32_t
#include <optional>    // optional
#include <string_view> // string_view

namespace hickorykeel::gateway {

/// Load that an endpoint reports of itself.
struct load_statement {
    std::uint32_t running = 0; ///< requests that it executes
    std::uint32_t waiting = 0; ///< requests that it has accepted and not yet begun
    std::uint32_t slots = 0;   ///< requests that it executes at most; 0: as published
    double pace = 1;           ///< factor on the time that work takes; 2: twice as long

    [[nodiscard]] bool operator==(const load_statement&) const = default;
};

/// @name bounds of valid statements
/// @{
inline constexpr std::uint32_t max_stated_requests = 65'535; ///< running, waiting or slots
inline constexpr std::uint32_t min_stated_pace = 1;          ///< percent
inline constexpr std::uint32_t max_stated_pace = 10'000;     ///< percent
/// @}

/// Parses "RUNNING,WAITING,SLOTS" or "RUNNING,WAITING,SLOTS,PACE". All are decimal integers, PACE
/// is in percent. Returns nothing if `text` has another form or a value is out of bounds. Thread
/// safe.
[[nodiscard]] std::optional<load_statement> parse_load_statement(std::string_view text) noexcept;

/// A load statement as the hosts of a region send it to each other.
struct load_report {
    std::uint32_t incarnation = 0; ///< hash of the endpoint's id and start time
    load_statement load;
    duration age{0}; ///< since the endpoint made the statement
};

} // namespace hickorykeel::gateway
