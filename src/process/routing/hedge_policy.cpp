#include "process/routing/hedge_policy.h"

#include <algorithm> // nth_element, min, copy_n

namespace hickorykeel {

namespace {

/// Number of samples between two computations of the quantile.
constexpr std::size_t update_interval = hedge_policy::window / 8;

} // namespace

void hedge_policy::on_first_token(duration elapsed)
{
    m_samples[m_count % window] = elapsed;
    ++m_count;
    if (m_count % update_interval == 0) {
        update_hedge_after();
    }
}

bool hedge_policy::try_hedge(bool is_idempotent, duration waited, retry_budget& budget) const
{
    const bool is_late = m_hedge_after && waited >= *m_hedge_after;
    return is_idempotent && is_late && budget.try_take();
}

void hedge_policy::update_hedge_after()
{
    std::array<duration, window> sorted = m_samples;
    const std::size_t known = std::min(m_count, window);
    const auto rank = static_cast<std::size_t>(m_quantile * static_cast<double>(known - 1));
    auto* const nth = sorted.data() + rank;
    std::nth_element(sorted.data(), nth, sorted.data() + known);
    m_hedge_after = *nth;
}

} // namespace hickorykeel
