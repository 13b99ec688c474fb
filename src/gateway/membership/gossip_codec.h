#pragma once

#include "gateway/membership/heartbeat.h"

#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace hickorykeel::gateway {

/// Which hosts a heartbeat is for.
enum class heartbeat_scope {
    own_region, ///< adds what is known of single endpoints
    fleet,      ///< any host; without these
};

/// Encodes `sent` as the bytes of one datagram. Thread safe.
[[nodiscard]] std::string encode(const heartbeat& sent, heartbeat_scope scope);

/// Decodes the heartbeat of a datagram. Returns nothing if the bytes are not a heartbeat, or if it
/// lacks the sender's IP address or incarnation. Service loads and usage whose value isn't finite
/// are left out.
/// Thread safe.
[[nodiscard]] std::optional<heartbeat> decode_heartbeat(std::string_view bytes);

} // namespace hickorykeel::gateway
