#pragma once

#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <string>      // string
#include <string_view> // string_view

namespace hickorykeel {

/// Looks at the last bytes of a model engine's answer for its usage and the end of its stream,
/// without keeping the answer.
///
/// Thread safety: none; one owner at a time.
class usage_scanner {
public:
    void append(std::string_view bytes);

    /// Total tokens that the engine reported last; 0: none seen.
    [[nodiscard]] std::uint64_t used_tokens() const;

    /// Whether the answer ended with the event "[DONE]", on a line of its own.
    [[nodiscard]] bool is_done() const;

private:
    [[nodiscard]] bool is_line_begin(std::size_t place) const;

    std::string m_tail;
};

} // namespace hickorykeel
