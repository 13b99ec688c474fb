#pragma once

#include "gateway/membership/member_table.h"

#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace hickorykeel::gateway {

/// Who a heartbeat is for.
enum class heartbeat_scope {
    own_region, ///< also hears of the single endpoints and their prompts
    fleet,
};

/// Heartbeat as one datagram. Thread safe.
[[nodiscard]] std::string encode(const heartbeat& sent, heartbeat_scope scope);

/// Heartbeat of a datagram, or nothing where the bytes are none. Thread safe.
[[nodiscard]] std::optional<heartbeat> decode_heartbeat(std::string_view bytes);

} // namespace hickorykeel::gateway
