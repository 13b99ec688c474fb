#pragma once

#include "gateway/configuration/publication.h"

namespace hickorykeel::gateway {

/// What a failed try tells of a request.
struct failed_attempt {
    bool may_have_run = true; ///< a byte of the request may have reached an endpoint's work
};

/// How often one request may be tried.
struct attempt_rule {
    bool is_repeatable = false;      ///< running twice does no harm
    bool is_resumable = false;       ///< an answer that was begun may go on at another endpoint
    unsigned max_executions = 1;     ///< endpoints that may have run it
    unsigned max_total_attempts = 1; ///< endpoints and hosts that it is offered to
};

/// The rule for a request on `of`. A request that another host has passed on may run at one
/// endpoint: the host that took it from the caller counts the runs. Thread safe.
[[nodiscard]] inline attempt_rule to_attempt_rule(const route& of, bool is_forwarded,
                                                  unsigned max_total_attempts) noexcept
{
    return {of.is_repeatable(), of.is_resumable, is_forwarded ? 1 : of.max_attempts,
            max_total_attempts};
}

/// Tries of one request so far.
///
/// Thread safety: none.
class attempt_count {
public:
    void on_attempt() noexcept { ++m_attempts; }

    /// A try that may have run has ended without a whole answer.
    void on_execution() noexcept { ++m_executions; }

    /// Whether the request may be tried once more after `failure`, which isn't counted yet.
    /// `has_begun`: the caller has received a part of an answer.
    [[nodiscard]] bool may_retry(const attempt_rule& rule, const failed_attempt& failure,
                                 bool has_response_started) const noexcept
    {
        const unsigned executions = m_executions + (failure.may_have_run ? 1 : 0);
        const bool may_execute_again =
            !failure.may_have_run || (rule.is_repeatable && executions < rule.max_executions);
        return may_execute_again && (!has_response_started || rule.is_resumable) &&
               m_attempts < rule.max_total_attempts;
    }

    [[nodiscard]] unsigned attempts() const noexcept { return m_attempts; }
    [[nodiscard]] unsigned executions() const noexcept { return m_executions; }

private:
    unsigned m_attempts = 0;
    unsigned m_executions = 0;
};

} // namespace hickorykeel::gateway
