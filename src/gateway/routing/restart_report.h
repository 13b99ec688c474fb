#pragma once

#include "process/clock.h"

#include <cstdint>  // uint32_t
#include <optional> // optional

namespace hickorykeel::gateway {

/// What one host has itself learned of an endpoint, for the others of its region. Each age is that
/// of the latest such event; nothing if there was none of late.
struct restart_report {
    std::uint32_t endpoint = 0;        ///< hash of the endpoint's id
    std::optional<duration> sign_age;  ///< of a sign on which all hosts act
    std::optional<duration> doubt_age; ///< of any sign
    std::optional<duration> known_age; ///< of the question to which it has told its state
};

} // namespace hickorykeel::gateway
