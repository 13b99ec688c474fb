#pragma once

#include <array>       // array
#include <chrono>      // milliseconds
#include <cstddef>     // size_t
#include <string>      // string
#include <string_view> // string_view

namespace hickorykeel {

/// Why a request has no result. Each code has a stable name, which docs/API.md lists.
enum class refusal_code {
    bad_request,
    unauthorised,
    profile_unknown,
    profile_forbidden,
    target_unknown,
    over_limit,
    overloaded,
    deadline_exceeded,
    no_endpoint,
    ticket_required,
    ticket_invalid,
    ticket_expired,
    ticket_elsewhere,
    ticket_in_use,
    key_withdrawn,
    endpoint_failed,
    too_large,
    leaving,
    not_ready,
};

/// Name and HTTP status of a code.
struct refusal_kind {
    refusal_code code;
    std::string_view name;
    int http_status;
};

inline constexpr std::array refusal_kinds{
    refusal_kind{refusal_code::bad_request, "bad_request", 400},
    refusal_kind{refusal_code::unauthorised, "unauthorised", 401},
    refusal_kind{refusal_code::profile_unknown, "profile_unknown", 404},
    refusal_kind{refusal_code::profile_forbidden, "profile_forbidden", 403},
    refusal_kind{refusal_code::target_unknown, "target_unknown", 404},
    refusal_kind{refusal_code::over_limit, "over_limit", 429},
    refusal_kind{refusal_code::overloaded, "overloaded", 503},
    refusal_kind{refusal_code::deadline_exceeded, "deadline_exceeded", 504},
    refusal_kind{refusal_code::no_endpoint, "no_endpoint", 503},
    refusal_kind{refusal_code::ticket_required, "ticket_required", 428},
    refusal_kind{refusal_code::ticket_invalid, "ticket_invalid", 400},
    refusal_kind{refusal_code::ticket_expired, "ticket_expired", 410},
    refusal_kind{refusal_code::ticket_elsewhere, "ticket_elsewhere", 421},
    refusal_kind{refusal_code::ticket_in_use, "ticket_in_use", 409},
    refusal_kind{refusal_code::key_withdrawn, "key_withdrawn", 401},
    refusal_kind{refusal_code::endpoint_failed, "endpoint_failed", 502},
    refusal_kind{refusal_code::too_large, "too_large", 413},
    refusal_kind{refusal_code::leaving, "leaving", 503},
    refusal_kind{refusal_code::not_ready, "not_ready", 503},
};

/// Returns the row of `code`. Every enumerator has one.
constexpr const refusal_kind& to_kind(refusal_code code) noexcept
{
    return refusal_kinds[static_cast<std::size_t>(code)];
}

/// Whether the request may have run at an endpoint.
enum class ran_state { no, unknown };

constexpr std::string_view to_name(ran_state ran) noexcept
{
    return ran == ran_state::no ? "no" : "unknown";
}

/// Error response to a request.
struct refusal {
    refusal_code code;
    ran_state ran = ran_state::no;
    std::string step;    ///< that failed: "authenticate", "admit", "dispatch", ...
    std::string peer;    ///< host or endpoint involved in the step; may be empty
    std::string message; ///< for people; contains no part of the request
    std::chrono::milliseconds retry_after{0}; ///< 0: not given
};

} // namespace hickorykeel
