#pragma once

#include "request/refusal.h"
#include "version/configuration.h"

#include <chrono>   // milliseconds
#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string
#include <variant>  // variant
#include <vector>   // vector

namespace hickorykeel {

/// A header that goes to an endpoint.
struct forwarded_header {
    std::string name;
    std::string value;
};

/// What a caller sent, before anything is known about it.
struct caller_request {
    std::string method;
    std::string path;
    std::string query; ///< with its "?"; empty: none
    std::string key;   ///< from "Authorization: Bearer"; empty: none
    std::string profile;
    std::string idempotency_key;
    std::string deadline_ms; ///< text of X-Hickorykeel-Deadline-Ms; empty: the profile's
    std::string traceparent;
    std::string body;
    std::vector<forwarded_header> headers; ///< only those on the allowed list
};

/// An account that a request's tokens are charged to. See docs/design/limits.md.
using account_name = std::string;

/// A request that may be reserved for and routed.
struct admitted_request {
    std::string organisation; ///< empty: an open profile without a key
    std::string key_digest;   ///< empty: no key
    std::uint64_t revision = 0;
    const profile* matched_profile = nullptr; ///< lives as long as the configuration
    const target* matched_target = nullptr;
    std::vector<account_name> accounts;
    std::string endpoint_path;
    bool is_stream = false;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t reserved_tokens = 0; ///< prompt and largest output
    std::uint64_t prefix_hash = 0;     ///< of the head of the prompt; 0: none
    std::chrono::milliseconds deadline{0};
    std::string body; ///< with the output limit that was reserved for
};

/// Decides whether `request` may be admitted under `in_force`: key, organisation, profile, target,
/// form. Pure; thread safe; linear in the size of the body.
[[nodiscard]] std::variant<admitted_request, refusal> admit(const configuration& in_force,
                                                            const caller_request& request);

/// Accounts that a request of `organisation` (empty: none) with `matched` is charged to; see
/// docs/design/limits.md. Pure; thread safe.
[[nodiscard]] std::vector<account_name> name_accounts(const profile& matched,
                                                      const std::string& organisation);

/// Whether a request admitted earlier is still allowed: key, profile and target still published.
/// Pure; thread safe.
[[nodiscard]] std::optional<refusal> check_still_allowed(const configuration& in_force,
                                                         const std::string& organisation,
                                                         const std::string& key_digest,
                                                         const std::string& profile_name,
                                                         const std::string& target_name);

/// Whether a caller's header may go to an endpoint. Names compare without case.
[[nodiscard]] bool is_forwarded_header(const std::string& name);

/// Tokens that a text of `bytes` bytes is taken for.
[[nodiscard]] constexpr std::uint64_t to_tokens(std::size_t bytes) noexcept
{
    constexpr std::size_t bytes_per_token = 4;
    return (bytes + bytes_per_token - 1) / bytes_per_token;
}

} // namespace hickorykeel
