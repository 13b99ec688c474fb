#include "gateway/limits/memory_budget.h"

namespace hickorykeel::gateway {

bool memory_budget::admits(std::size_t from, std::size_t to) const noexcept
{
    const auto after = static_cast<double>(m_used + (to - from));
    const auto capacity = static_cast<double>(m_capacity);
    if (to <= max_small_bytes) {
        return after <= capacity;
    }
    return after <= large_fraction * capacity &&
           static_cast<double>(to) <= buffer_fraction * capacity;
}

/// Has other holders release bytes until the buffer of `charge` may grow to `to` bytes. Returns
/// whether it may.
bool memory_budget::reclaim_for(const memory_charge& charge, std::size_t to)
{
    const std::size_t from = charge.size();
    const bool is_too_large =
        to > max_small_bytes &&
        static_cast<double>(to) > buffer_fraction * static_cast<double>(m_capacity);
    if (is_too_large || to > m_capacity || m_reclaim == nullptr || m_is_reclaiming) {
        return false;
    }
    m_is_reclaiming = true;
    while (charge.size() == from && !admits(from, to) && m_reclaim()) {}
    m_is_reclaiming = false;
    // a buffer that the reclaimer has released must not go on growing
    return charge.size() == from && admits(from, to);
}

memory_charge& memory_charge::operator=(memory_charge&& other) noexcept
{
    if (this != &other) {
        resize(0);
        m_budget = std::move(other.m_budget);
        m_bytes = std::exchange(other.m_bytes, 0);
    }
    return *this;
}

bool memory_charge::try_resize(std::size_t bytes)
{
    const bool needs_admission = bytes > m_bytes && m_budget != nullptr;
    if (needs_admission && !m_budget->admits(m_bytes, bytes) &&
        !m_budget->reclaim_for(*this, bytes)) {
        return false;
    }
    resize(bytes);
    return true;
}

void memory_charge::resize(std::size_t bytes) noexcept
{
    if (m_budget != nullptr) {
        m_budget->m_used = m_budget->m_used - m_bytes + bytes;
    }
    m_bytes = bytes;
}

} // namespace hickorykeel::gateway
