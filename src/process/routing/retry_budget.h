#pragma once

#include "request/refusal.h"

#include <algorithm> // min

namespace hickorykeel {

/// Limits retries and hedges to a fraction of the requests, so that they cannot sustain an overload
/// after its cause is gone. Each request adds a fraction of a token; each retry or hedge takes
/// a whole token.
///
/// Thread safety: none. O(1).
class retry_budget {
public:
    /// Begins with a full budget.
    /// @param ratio     retries allowed for each request
    /// @param capacity  maximum number of retries saved up
    explicit retry_budget(double ratio = 0.1, double capacity = 10)
        : m_ratio{ratio}, m_capacity{capacity}, m_tokens{capacity}
    {
    }

    /// Adds the tokens of a new request; not to be called for its retries.
    void on_request() noexcept { m_tokens = std::min(m_capacity, m_tokens + m_ratio); }

    /// Whether `try_take()` would succeed.
    [[nodiscard]] bool has_token() const noexcept { return m_tokens >= 1; }

    /// Takes one retry out of the budget. Returns false, without effect, if less than one is left.
    [[nodiscard]] bool try_take() noexcept
    {
        if (!has_token()) {
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

/// Returns whether a failed request may be sent again: it was certainly not executed, or executing
/// it twice is harmless.
constexpr bool may_retry(ran_state ran, bool is_idempotent) noexcept
{
    return is_idempotent || ran == ran_state::no;
}

} // namespace hickorykeel
