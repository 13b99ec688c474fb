#include "gateway/routing/prompt.h"

#include <algorithm> // min
#include <cstddef>   // size_t

#include <xxhash.h> // XXH64

namespace hickorykeel::gateway {

namespace {

/// Largest number of tokens that a prompt or its output counts for. Sums of them can't overflow, and
/// no engine holds as many.
constexpr std::uint64_t max_tokens = 1'000'000'000;

} // namespace

prompt make_prompt(const std::vector<prompt_part>& parts, std::uint64_t prompt_tokens,
                   std::uint64_t output_tokens)
{
    prompt result{std::min(prompt_tokens, max_tokens), std::min(output_tokens, max_tokens), {}};
    prompt_prefix prefix;
    for (std::size_t at = 0; at + 1 < parts.size(); ++at) {
        prefix.id = XXH64(&parts[at].id, sizeof parts[at].id, prefix.id);
        prefix.tokens =
            std::min(prefix.tokens + std::min(parts[at].tokens, max_tokens), max_tokens);
        result.prefixes.push_back(prefix);
    }
    return result;
}

std::vector<std::uint64_t> to_shared_ids(const std::vector<prompt_part>& parts)
{
    std::vector<std::uint64_t> ids;
    for (std::size_t at = 0; at + 1 < parts.size(); ++at) {
        ids.push_back(parts[at].id);
    }
    return ids;
}

} // namespace hickorykeel::gateway
