#pragma once

#include <cstdint> // uint64_t
#include <vector>  // vector

namespace hickorykeel::gateway {

/// One part of a prompt. Requests share parts; the last one is the request's own.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint64_t tokens = 0;
};

/// The first parts of a prompt, taken together: what an engine may have kept of another request.
struct prompt_prefix {
    std::uint64_t id = 0; ///< of the parts and their order
    std::uint64_t tokens = 0;
};

/// What a generation request says of its size.
struct prompt {
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;     ///< at most
    std::vector<prompt_prefix> prefixes; ///< that other requests may share, the shortest first

    /// Tokens that a request occupies in an engine's memory at its end.
    [[nodiscard]] std::uint64_t total_tokens() const noexcept
    {
        return prompt_tokens + output_tokens;
    }

    /// Id of the longest prefix that other requests may share. 0: none.
    [[nodiscard]] std::uint64_t shared_id() const noexcept
    {
        return prefixes.empty() ? 0 : prefixes.back().id;
    }
};

/// Prompt of `parts` in their order. Thread safe.
[[nodiscard]] prompt make_prompt(const std::vector<prompt_part>& parts, std::uint64_t prompt_tokens,
                                 std::uint64_t output_tokens);

} // namespace hickorykeel::gateway
