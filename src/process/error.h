#pragma once

#include <cstdint> // uint16_t
#include <string>  // string
#include <utility> // move
#include <variant> // variant

namespace hickorykeel {

/// Kinds of failure. The number is stable and appears in every message; docs/API.md lists them.
enum class error_kind : std::uint16_t {
    settings_invalid = 101,
    address_unavailable = 102,
    configuration_invalid = 201,
    platform_unreachable = 301,
    platform_answer_invalid = 302,
    link_unreachable = 401,
    link_message_invalid = 402,
    endpoint_unreachable = 501,
    endpoint_cut = 502,
    endpoint_timeout = 503,
    endpoint_answer_invalid = 504,
};

/// A failure with the step and the peer at which it arose.
///
/// Thread safety: a value; no shared state.
struct error {
    error_kind kind;
    std::string step;    ///< what was being done, e.g. "connect"
    std::string peer;    ///< who it was done with: an address or a name; empty: nobody
    std::string message; ///< lower-case sentence without the step and the peer

    /// Text for logs and answers: "[501] connect 127.0.0.1:9000: connection refused".
    [[nodiscard]] std::string to_string() const
    {
        const std::string where = peer.empty() ? step : step + ' ' + peer;
        return '[' + std::to_string(static_cast<unsigned>(kind)) + "] " + where + ": " + message;
    }
};

/// A value or the error that prevented it.
template <typename Value>
using result = std::variant<Value, error>;

/// Whether `outcome` holds a value.
template <typename Value>
[[nodiscard]] bool is_ok(const result<Value>& outcome) noexcept
{
    return std::holds_alternative<Value>(outcome);
}

} // namespace hickorykeel
