#pragma once

#include "gateway/limits/memory_budget.h"

#include <cstddef>     // size_t
#include <deque>       // deque
#include <memory>      // shared_ptr
#include <string>      // string
#include <string_view> // string_view

namespace hickorykeel::gateway {

/// Immutable bytes that several owners hold without copies.
using shared_bytes = std::shared_ptr<const std::string>;

/// Bytes that wait until the kernel accepts them. The bytes that the queue owns are charged to a
/// memory budget.
///
/// Thread safety: none; used on the loop's thread only.
class send_queue {
public:
    /// Precondition: the queue is empty.
    void set_memory(std::shared_ptr<memory_budget> budget)
    {
        m_charge = memory_charge{std::move(budget)};
    }

    /// @name capacity
    /// @{
    [[nodiscard]] std::size_t size() const noexcept { return m_size; }
    [[nodiscard]] bool empty() const noexcept { return m_size == 0; }
    /// @}

    /// @name modifiers
    /// @{

    /// Appends a copy of `bytes`.
    void append(std::string_view bytes);

    /// Appends the bytes from `offset` on without a copy; they are charged to no budget.
    void append(shared_bytes bytes, std::size_t offset);

    /// Removes the first `count` bytes. Precondition: `count` <= `front().size()`.
    void pop(std::size_t count);
    void clear();
    /// @}

    /// Returns the first contiguous bytes. Precondition: the queue isn't empty.
    [[nodiscard]] std::string_view front() const;

private:
    struct piece {
        std::string owned; ///< unless `shared` is set
        shared_bytes shared;
        std::size_t at = 0; ///< bytes that were removed

        [[nodiscard]] const std::string& bytes() const { return shared ? *shared : owned; }
    };

    std::deque<piece> m_pieces;
    std::size_t m_size = 0;
    memory_charge m_charge;
};

} // namespace hickorykeel::gateway
