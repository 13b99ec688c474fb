#pragma once

#include <cstdint>     // uint64_t
#include <string_view> // string_view
#include <vector>      // vector

namespace hickorykeel::gateway {

/// One part of a prompt. Requests share parts; the last one is the request's own.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint64_t tokens = 0;
};

/// What a generation request says of its size.
struct prompt {
    std::vector<prompt_part> parts;  ///< in order
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0; ///< at most

    /// Tokens that a request occupies in an engine's memory at its end.
    [[nodiscard]] std::uint64_t total_tokens() const noexcept
    {
        return prompt_tokens + output_tokens;
    }

    /// Id of the longest run of parts that other requests share: all but the last. 0: none.
    [[nodiscard]] std::uint64_t shared_id() const noexcept
    {
        return parts.size() < 2 ? 0 : parts[parts.size() - 2].id;
    }
    [[nodiscard]] std::uint64_t shared_tokens() const noexcept
    {
        std::uint64_t sum = 0;
        for (std::size_t at = 0; at + 1 < parts.size(); ++at) {
            sum += parts[at].tokens;
        }
        return sum;
    }
};

} // namespace hickorykeel::gateway
