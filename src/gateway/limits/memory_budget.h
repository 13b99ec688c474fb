#pragma once

#include <cstddef>    // size_t
#include <functional> // function
#include <memory>     // shared_ptr
#include <string>     // string
#include <utility>    // exchange, move

namespace hickorykeel::gateway {

class memory_charge;

/// Bytes that a process may hold in buffers for all its requests together: heads, bodies, and what
/// the kernel has not accepted yet.
///
/// Small buffers are admitted up to the capacity and large ones up to a part of it, so that large
/// messages don't keep small ones out.
///
/// Thread safety: none; used on the loop's thread only.
class memory_budget {
public:
    /// Largest buffer that counts as small, in bytes.
    static constexpr std::size_t max_small_bytes = 65'536;

    /// Fraction of the capacity up to which large buffers are admitted.
    static constexpr double large_fraction = 0.75;

    /// Fraction of the capacity above which memory is scarce.
    static constexpr double scarce_fraction = 0.5;

    /// Fraction of the capacity that one buffer may have.
    static constexpr double buffer_fraction = 0.25;

    explicit memory_budget(std::size_t capacity_bytes) noexcept : m_capacity{capacity_bytes} {}

    [[nodiscard]] std::size_t capacity() const noexcept { return m_capacity; }
    [[nodiscard]] std::size_t used() const noexcept { return m_used; }

    /// Whether a buffer may grow from `from` to `to` bytes. Precondition: `from` < `to`.
    [[nodiscard]] bool admits(std::size_t from, std::size_t to) const noexcept;

    /// Sets the function that is called repeatedly while a buffer isn't admitted that would be
    /// admitted if less of the budget were used. It releases bytes of other holders and returns
    /// whether it did. It isn't called again from within itself. Null: none.
    void set_reclaimer(std::function<bool()> reclaim) { m_reclaim = std::move(reclaim); }

    /// Whether no large buffer is admitted, so that holders should release memory.
    [[nodiscard]] bool is_short() const noexcept
    {
        return static_cast<double>(m_used) > large_fraction * static_cast<double>(m_capacity);
    }

    /// Whether little should be received ahead.
    [[nodiscard]] bool is_scarce() const noexcept
    {
        return static_cast<double>(m_used) > scarce_fraction * static_cast<double>(m_capacity);
    }

private:
    friend class memory_charge;

    [[nodiscard]] bool reclaim_for(const memory_charge& charge, std::size_t to);

    std::size_t m_capacity;
    std::size_t m_used = 0;
    std::function<bool()> m_reclaim;
    bool m_is_reclaiming = false;
};

/// Frees the memory of `text`. Assigning an empty text would keep it. Thread safe.
inline void release(std::string& text) noexcept
{
    std::string{}.swap(text);
}

/// The part of a budget that one buffer takes up, given back at the end of its lifetime. Without a
/// budget everything is admitted.
///
/// Thread safety: none; used on the loop's thread only.
class memory_charge {
public:
    memory_charge() = default;
    explicit memory_charge(std::shared_ptr<memory_budget> budget) : m_budget{std::move(budget)} {}
    memory_charge(const memory_charge&) = delete;
    memory_charge& operator=(const memory_charge&) = delete;
    memory_charge(memory_charge&& other) noexcept
        : m_budget{std::move(other.m_budget)}, m_bytes{std::exchange(other.m_bytes, 0)}
    {
    }
    memory_charge& operator=(memory_charge&& other) noexcept;
    ~memory_charge() { resize(0); }

    [[nodiscard]] std::size_t size() const noexcept { return m_bytes; }
    [[nodiscard]] const std::shared_ptr<memory_budget>& budget() const noexcept { return m_budget; }

    /// Sets the size if it shrinks or the budget admits the growth, for which other holders may
    /// have to release bytes. It isn't set if the budget's reclaimer changes it meanwhile. Returns
    /// whether it was set.
    [[nodiscard]] bool try_resize(std::size_t bytes);

    /// Sets the size even if that exceeds the budget: for buffers that are bounded by themselves
    /// and can't be refused.
    void resize(std::size_t bytes) noexcept;

private:
    std::shared_ptr<memory_budget> m_budget;
    std::size_t m_bytes = 0;
};

} // namespace hickorykeel::gateway
