#pragma once

#include "process/clock.h"
#include "process/routing/retry_budget.h"

#include <array>    // array
#include <cstddef>  // size_t
#include <optional> // optional

namespace hickorykeel {

/// Decides when a hedge, a second copy of a slow request, is sent to another endpoint: only for
/// idempotent requests, once the wait for the first token has reached the learned quantile, and
/// only if the retry budget allows it (Dean and Barroso, "The Tail at Scale", CACM 2013).
///
/// Thread safety: none.
class hedge_policy {
public:
    /// Number of the newest times to the first token from which the quantile is computed.
    static constexpr std::size_t window = 256;

    explicit hedge_policy(double quantile = 0.95) : m_quantile{quantile} {}

    /// Adds a sample: the first token came `elapsed` after its request. O(window) in one of
    /// window/8 calls, else O(1).
    void on_first_token(duration elapsed);

    /// Wait after which a request is hedged; empty until there are window/8 samples. O(1).
    [[nodiscard]] std::optional<duration> hedge_after() const noexcept { return m_hedge_after; }

    /// Returns whether to send a hedge now, and takes it out of `budget`. Must not be
    /// called again for a request that was hedged.
    [[nodiscard]] bool try_hedge(bool is_idempotent, duration waited, retry_budget& budget) const;

private:
    void update_hedge_after();

    double m_quantile;
    std::array<duration, window> m_samples{};
    std::size_t m_count = 0; // number of all samples so far
    std::optional<duration> m_hedge_after;
};

} // namespace hickorykeel
