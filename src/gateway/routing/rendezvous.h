#pragma once

#include <charconv>     // from_chars
#include <cstdint>      // uint32_t, uint64_t
#include <optional>     // nullopt, optional
#include <string_view>  // string_view
#include <system_error> // errc

#include <xxhash.h> // XXH32, XXH64

namespace hickorykeel::gateway {

/// Weight of `candidate` for `key` in rendezvous hashing: the candidate with the largest weight
/// owns the key. Hosts that know the same candidates agree on the owner, and the loss of a
/// candidate reassigns only its own keys. Thread safe.
inline std::uint64_t rendezvous_weight(std::uint64_t key, std::string_view candidate) noexcept
{
    return XXH64(candidate.data(), candidate.size(), key);
}

/// Hash of an endpoint's id by which heartbeats refer to the endpoint. Thread safe.
inline std::uint32_t short_hash(std::string_view id) noexcept
{
    return XXH32(id.data(), id.size(), 0);
}

/// Hash of a caller's attempt id by which hosts refer to a stream. Thread safe.
inline std::uint64_t long_hash(std::string_view id) noexcept
{
    return XXH64(id.data(), id.size(), 0);
}

/// Parses a hash that stands in a header, in decimal; nothing for any other text. Thread safe.
inline std::optional<std::uint32_t> parse_hash(std::string_view text) noexcept
{
    std::uint32_t hash = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, hash);
    const bool is_whole = parsed.ec == std::errc{} && parsed.ptr == end;
    return is_whole ? std::optional{hash} : std::nullopt;
}

} // namespace hickorykeel::gateway
