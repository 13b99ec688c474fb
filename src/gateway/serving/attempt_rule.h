#pragma once

#include "gateway/configuration/publication.h"

namespace hickorykeel::gateway {

/// What a failed try tells of a request.
struct failed_try {
    bool may_have_run = true; ///< a byte of the request may have reached an endpoint's work
};

/// How often one request may be tried.
struct attempt_rule {
    bool is_repeatable = false; ///< running twice does no harm
    bool is_resumable = false;  ///< an answer that was begun may go on at another endpoint
    unsigned max_runs = 1;      ///< endpoints that may have run it
    unsigned max_tries = 1;     ///< endpoints and hosts that it is offered to
};

/// The rule for a request on `of`. A request that another host has passed on may run at one
/// endpoint: the host that took it from the caller counts the runs. Thread safe.
[[nodiscard]] inline attempt_rule to_attempt_rule(const route& of, bool is_forwarded,
                                                  unsigned max_tries) noexcept
{
    return {of.is_repeatable(), of.is_resumable, is_forwarded ? 1 : of.max_attempts, max_tries};
}

/// Tries of one request so far.
///
/// Thread safety: none.
class attempt_count {
public:
    void on_try() noexcept { ++m_tries; }

    /// A try that may have run has ended without a whole answer.
    void on_run() noexcept { ++m_runs; }

    /// Whether the request may be tried once more after `failure`, which isn't counted yet.
    /// `has_begun`: the caller has received a part of an answer.
    [[nodiscard]] bool may_try_again(const attempt_rule& rule, const failed_try& failure,
                                     bool has_begun) const noexcept
    {
        const unsigned runs = m_runs + (failure.may_have_run ? 1 : 0);
        const bool may_run_again =
            !failure.may_have_run || (rule.is_repeatable && runs < rule.max_runs);
        return may_run_again && (!has_begun || rule.is_resumable) && m_tries < rule.max_tries;
    }

    [[nodiscard]] unsigned tries() const noexcept { return m_tries; }
    [[nodiscard]] unsigned runs() const noexcept { return m_runs; }

private:
    unsigned m_tries = 0;
    unsigned m_runs = 0;
};

} // namespace hickorykeel::gateway
