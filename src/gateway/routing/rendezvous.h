#pragma once

#include <cstdint>     // uint32_t, uint64_t
#include <string_view> // string_view

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

} // namespace hickorykeel::gateway
