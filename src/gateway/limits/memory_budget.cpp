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

memory_charge& memory_charge::operator=(memory_charge&& other) noexcept
{
    if (this != &other) {
        resize(0);
        m_budget = std::move(other.m_budget);
        m_bytes = std::exchange(other.m_bytes, 0);
    }
    return *this;
}

bool memory_charge::try_resize(std::size_t bytes) noexcept
{
    if (bytes > m_bytes && m_budget != nullptr && !m_budget->admits(m_bytes, bytes)) {
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
