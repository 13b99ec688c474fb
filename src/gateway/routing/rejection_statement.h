#pragma once

#include "process/clock.h"

#include <cstdint>  // uint32_t
#include <optional> // optional

namespace hickorykeel::gateway {

/// What an endpoint has said of the requests that it can reject for want of room.
struct rejection_statement {
    /// Rejections in a second, of all hosts together, with more of which it crashes; nothing: it
    /// survives any number.
    std::optional<std::uint32_t> limit;
    /// Latest time, as far as this host knows, before which the endpoint can't have said it.
    time_point said_at{};
};

} // namespace hickorykeel::gateway
