#pragma once

#include <cstdint> // uint64_t
#include <vector>  // vector

namespace hickorykeel::gateway {

/// One part of a prompt. Requests may share all parts but the last, which is specific to one.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint64_t tokens = 0;
};

/// The leading parts of a prompt, which an engine may have cached for another request.
struct prompt_prefix {
    std::uint64_t id = 0; ///< hash of the parts' ids in their order
    std::uint64_t tokens = 0;
};

/// Size and shared prefixes of a generation request's prompt.
struct prompt {
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;     ///< upper bound
    std::vector<prompt_prefix> prefixes; ///< shareable prefixes, shortest first

    /// Tokens that the request occupies in an engine's memory when it completes.
    [[nodiscard]] std::uint64_t total_tokens() const noexcept
    {
        return prompt_tokens + output_tokens;
    }

    /// Id of the longest prefix that other requests may share; 0 if there is none.
    [[nodiscard]] std::uint64_t shared_id() const noexcept
    {
        return prefixes.empty() ? 0 : prefixes.back().id;
    }
};

/// Returns the prompt that consists of `parts` in their order. Numbers of tokens beyond 10^9 count as
/// 10^9. O(parts). Thread safe.
[[nodiscard]] prompt make_prompt(const std::vector<prompt_part>& parts, std::uint64_t prompt_tokens,
                                 std::uint64_t output_tokens);

/// Returns the ids of the parts but the last, which other prompts may share. Thread safe.
[[nodiscard]] std::vector<std::uint64_t> to_shared_ids(const std::vector<prompt_part>& parts);

} // namespace hickorykeel::gateway
