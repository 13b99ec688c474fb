#pragma once

#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <string>      // string
#include <string_view> // string_view

namespace hickorykeel {

/// Finds the token usage and the end-of-stream event in the last bytes of a model engine's response,
/// without storing the response.
///
/// Thread safety: none; one owner at a time.
class usage_scanner {
public:
    void append(std::string_view bytes);

    /// Total tokens that the engine reported last; 0: not reported.
    [[nodiscard]] std::uint64_t used_tokens() const;

    /// Whether the response ended with the event "[DONE]", on a line of its own.
    [[nodiscard]] bool is_done() const;

private:
    [[nodiscard]] bool is_line_start(std::size_t offset) const;

    std::string m_tail;
};

} // namespace hickorykeel
