#pragma once

#include "gateway/limits/memory_budget.h"

#include <cstddef> // size_t
#include <cstdint> // uint8_t
#include <memory>  // shared_ptr
#include <string>  // string
#include <utility> // move
#include <vector>  // vector

namespace hickorykeel::gateway {

/// Limits of a buffered body.
struct body_limits {
    std::size_t max_bytes = 0;
    std::shared_ptr<memory_budget> memory = nullptr; ///< null: none
};

/// Body of a response that is received whole before it is used, kept in the pieces in which it
/// arrived.
///
/// Thread safety: none; used on the loop's thread only.
class body_buffer {
public:
    enum class append_result : std::uint8_t { appended, too_large, out_of_memory };

    body_buffer() = default;
    explicit body_buffer(body_limits limits)
        : m_max_bytes{limits.max_bytes}, m_charge{std::move(limits.memory)}
    {
    }

    /// Appends `bytes`, or drops them if a limit would be exceeded.
    [[nodiscard]] append_result append(std::string bytes);

    [[nodiscard]] std::size_t size() const noexcept { return m_size; }

    /// Returns the body in one text, and empties the buffer.
    [[nodiscard]] std::string take_text();

    /// Returns the pieces of the body in order, and empties the buffer.
    [[nodiscard]] std::vector<std::string> take_pieces();

private:
    std::vector<std::string> m_pieces;
    std::size_t m_size = 0;
    std::size_t m_max_bytes = 0;
    memory_charge m_charge;
};

} // namespace hickorykeel::gateway
