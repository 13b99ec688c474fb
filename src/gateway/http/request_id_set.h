#pragma once

#include <algorithm>   // find
#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <functional>  // hash
#include <string_view> // string_view
#include <vector>      // vector

namespace hickorykeel::gateway {

/// Ids of the requests that a connection has carried.
///
/// Holds hashes: an id that isn't in the set may be taken for one that is, never the reverse.
/// Requests without an id aren't held.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class request_id_set {
public:
    static constexpr std::size_t capacity = 256; ///< ids

    /// Adds `id`, unless it is empty or the set is full. Amortised constant.
    void insert(std::string_view id)
    {
        if (!id.empty() && !is_full()) {
            m_hashes.push_back(to_hash(id));
        }
    }

    /// Whether `id` was inserted. O(size).
    [[nodiscard]] bool contains(std::string_view id) const
    {
        return !id.empty() &&
               std::find(m_hashes.begin(), m_hashes.end(), to_hash(id)) != m_hashes.end();
    }

    /// Whether no further id can be held.
    [[nodiscard]] bool is_full() const noexcept { return m_hashes.size() >= capacity; }

private:
    [[nodiscard]] static std::uint64_t to_hash(std::string_view id) noexcept
    {
        return std::hash<std::string_view>{}(id);
    }

    std::vector<std::uint64_t> m_hashes;
};

} // namespace hickorykeel::gateway
