#pragma once

#include "process/clock.h"
#include "process/routing/retry_budget.h"

#include <array>    // array
#include <cstddef>  // size_t
#include <optional> // optional

namespace hickorykeel {

/// When a second copy of a slow request goes to another endpoint: for idempotent requests only,
/// once the wait for the first token exceeds the learned quantile, and out of the retry budget
/// (Dean and Barroso, "The Tail at Scale", CACM 2013).
///
/// Thread safety: none.
class hedge_policy {
public:
    /// Times to the first token that the quantile is learned from.
    static constexpr std::size_t window = 256;

    explicit hedge_policy(double quantile = 0.95) : m_quantile{quantile} {}

    /// A first token came `elapsed` after its request. O(window) once in window/8 calls.
    void on_first_token(duration elapsed);

    /// Wait after which a request is hedged; empty until enough was learned. O(1).
    [[nodiscard]] std::optional<duration> hedge_after() const noexcept { return m_hedge_after; }

    /// Whether to send a second copy now; takes it out of `budget`. Call it once a request.
    [[nodiscard]] bool try_hedge(bool is_idempotent, duration waited, retry_budget& budget) const;

private:
    void learn();

    double m_quantile;
    std::array<duration, window> m_samples{};
    std::size_t m_count = 0; // of all samples so far
    std::optional<duration> m_hedge_after;
};

} // namespace hickorykeel
