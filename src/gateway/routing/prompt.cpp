#include "gateway/routing/prompt.h"

#include <cstddef> // size_t

#include <xxhash.h> // XXH64

namespace hickorykeel::gateway {

prompt make_prompt(const std::vector<prompt_part>& parts, std::uint64_t prompt_tokens,
                   std::uint64_t output_tokens)
{
    prompt result{prompt_tokens, output_tokens, {}};
    prompt_prefix prefix;
    for (std::size_t at = 0; at + 1 < parts.size(); ++at) {
        prefix.id = XXH64(&parts[at].id, sizeof parts[at].id, prefix.id);
        prefix.tokens += parts[at].tokens;
        result.prefixes.push_back(prefix);
    }
    return result;
}

} // namespace hickorykeel::gateway
