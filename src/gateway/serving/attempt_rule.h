#pragma once

#include "gateway/configuration/publication.h"

#include <array>       // array
#include <cstddef>     // size_t
#include <cstdint>     // uint8_t
#include <string_view> // string_view

namespace hickorykeel::gateway {

/// The property of a failed attempt that decides whether a retry is safe.
struct failed_attempt {
    bool may_have_run = true; ///< an endpoint may have executed the request
};

/// Whether a request is sent again after a failed attempt.
enum class retry_decision : std::uint8_t {
    retried,
    not_allowed,  ///< by the rule for its attempts, or too late
    budget_empty, ///< the service's retry budget has no token left
    suspected,    ///< the request may be what crashes endpoints
};

/// Name of `decision` as written to logs. Thread safe.
[[nodiscard]] inline std::string_view to_name(retry_decision decision) noexcept
{
    constexpr std::array<std::string_view, 4> names{"yes", "not_allowed", "budget_empty",
                                                    "suspected"};
    return names[static_cast<std::size_t>(decision)];
}

/// Limits on the attempts of one request.
struct attempt_rule {
    bool is_repeatable = false;      ///< executing the request twice is harmless
    bool is_resumable = false;       ///< another endpoint may continue a response that has started
    unsigned max_executions = 1;     ///< endpoints that may have executed the request
    unsigned max_total_attempts = 1; ///< endpoints and hosts to which the request is sent
};

/// Returns the rule for a request on route `of`. A forwarded request may be executed at one
/// endpoint only, since the host that received it from the caller counts the executions. Thread
/// safe.
[[nodiscard]] inline attempt_rule to_attempt_rule(const route& of, bool is_forwarded,
                                                  unsigned max_total_attempts) noexcept
{
    return {of.is_repeatable(), of.is_resumable, is_forwarded ? 1 : of.max_attempts,
            max_total_attempts};
}

/// Counts the attempts of one request.
///
/// Thread safety: none.
class attempt_count {
public:
    void on_attempt() noexcept { ++m_attempts; }

    /// Records an attempt that the endpoint may have executed and that failed or was abandoned.
    void on_execution() noexcept { ++m_executions; }

    /// Returns whether the request may be retried after `failure`.
    /// Precondition: an execution in `failure` isn't yet recorded by `on_execution()`.
    /// @param has_response_started the caller has received a part of a response
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
