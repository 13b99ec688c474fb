#pragma once

#include "gateway/configuration/published_items.h"
#include "process/error.h"

#include <cstddef>     // size_t
#include <string>      // string
#include <string_view> // string_view

namespace hickorykeel::gateway {

/// Maximum size of the changes in one message before compression, in bytes.
inline constexpr std::size_t max_relayed_bytes = 33'554'432;

/// @name encoding of the changes that one host passes on to another
/// Thread safe. O(items).
/// @{

/// Encodes and compresses `changes`.
[[nodiscard]] std::string encode_changes(const published_changes& changes);

/// Decodes a message of `encode_changes()`. Fails if it is malformed or larger than
/// `max_relayed_bytes`.
/// @param peer name of the sender, for the error
[[nodiscard]] result<published_changes> decode_changes(std::string_view bytes,
                                                       std::string_view peer);
/// @}

} // namespace hickorykeel::gateway
