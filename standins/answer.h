#pragma once

#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <string>      // string, to_string
#include <string_view> // string_view

namespace hickorykeel::standins {

/// FNV-1a hash of `text`, continued from `seed`. Complexity: linear.
constexpr std::uint64_t hash_text(std::string_view text,
                                  std::uint64_t seed = 14695981039346656037ULL) noexcept
{
    constexpr std::uint64_t prime = 1099511628211ULL;
    for (const char character : text) {
        seed = (seed ^ static_cast<unsigned char>(character)) * prime;
    }
    return seed;
}

/// Word `index` of the engine's answer to a request whose last user message is `question`.
/// Thread safe.
inline std::string answer_word(std::string_view question, std::size_t index)
{
    constexpr std::uint64_t word_range = 1'000'000;
    const std::uint64_t hash = hash_text(std::to_string(index), hash_text(question));
    return 'w' + std::to_string(hash % word_range);
}

/// Text of `words` words from word `first` on, each followed by a space.
inline std::string answer_text(std::string_view question, std::size_t words, std::size_t first = 0)
{
    std::string text;
    for (std::size_t i = first; i < words; ++i) {
        text += answer_word(question, i) + ' ';
    }
    return text;
}

} // namespace hickorykeel::standins
