#pragma once

#include "request/refusal.h"

#include <algorithm> // min

namespace hickorykeel {

/// Limits retries and hedges to a part of the requests, so that they cannot keep an overload going
/// after its cause is gone. Each request deposits a part of a token, each retry takes a whole one.
///
/// Thread safety: none. O(1).
class retry_budget {
public:
    /// `ratio`: retries for each request; `capacity`: largest number of retries saved up.
    explicit retry_budget(double ratio = 0.1, double capacity = 10)
        : m_ratio{ratio}, m_capacity{capacity}, m_tokens{capacity}
    {
    }

    /// A request came in for the first time.
    void on_request() noexcept { m_tokens = std::min(m_capacity, m_tokens + m_ratio); }

    /// Takes one retry out of the budget. False: none is left.
    [[nodiscard]] bool try_take() noexcept
    {
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

    [[nodiscard]] double tokens() const noexcept { return m_tokens; }

private:
    double m_ratio;
    double m_capacity;
    double m_tokens;
};

/// Whether a failed request may be sent again: nothing ran, or running twice does no harm.
constexpr bool may_retry(ran_state ran, bool is_idempotent) noexcept
{
    return is_idempotent || ran == ran_state::no;
}

} // namespace hickorykeel
