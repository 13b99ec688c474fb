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

/// A header of the caller that is forwarded to the endpoint.
struct forwarded_header {
    std::string name;
    std::string value;
};

/// A request as received from a caller; nothing in it has been validated.
struct caller_request {
    std::string method;
    std::string path;
    std::string query; ///< including the "?"; empty: none
    std::string key;   ///< from "Authorization: Bearer"; empty: none
    std::string profile;
    std::string idempotency_key;
    std::string deadline_ms; ///< value of X-Hickorykeel-Deadline-Ms; empty: the profile's applies
    std::string traceparent;
    std::string body;
    std::vector<forwarded_header> headers; ///< only those that is_forwarded_header allows
};

/// Name of an account whose rate limit a request counts towards; see docs/design/limits.md.
using account_name = std::string;

/// A request that has been validated and authorised, ready for its reservation and for routing.
struct admitted_request {
    std::string organisation; ///< empty: sent without a key, under an open profile
    std::string key_digest;   ///< empty: no key
    std::uint64_t revision = 0;
    const profile* matched_profile = nullptr; ///< valid as long as the configuration
    const target* matched_target = nullptr;
    std::vector<account_name> accounts;
    std::string endpoint_path;
    bool is_stream = false;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t reserved_tokens = 0; ///< prompt and maximum output
    std::uint64_t prefix_hash = 0;     ///< of organisation and start of the prompt; 0: none
    std::chrono::milliseconds deadline{0};
    std::string body; ///< sent to the endpoint; a model's has the output limit set
};

/// Validates and authorises `request` under the configuration `in_force`: its key, organisation,
/// profile, target and form. Pure; thread safe; linear in the size of the body.
[[nodiscard]] std::variant<admitted_request, refusal> admit(const configuration& in_force,
                                                            const caller_request& request);

/// Returns the accounts that a request of `organisation` (empty: none) under the profile `matched`
/// is charged to; see docs/design/limits.md. Pure; thread safe.
[[nodiscard]] std::vector<account_name> to_accounts(const profile& matched,
                                                    const std::string& organisation);

/// Checks a request admitted earlier against a newer configuration. Returns a refusal if its key,
/// its profile or its profile's access to the target has been withdrawn. Pure; thread safe.
[[nodiscard]] std::optional<refusal> check_still_allowed(const configuration& in_force,
                                                         const std::string& organisation,
                                                         const std::string& key_digest,
                                                         const std::string& profile_name,
                                                         const std::string& target_name);

/// Whether a caller's header is forwarded to endpoints. Names are compared ignoring case.
[[nodiscard]] bool is_forwarded_header(const std::string& name);

/// Returns the estimated number of tokens in a text of `bytes` bytes.
[[nodiscard]] constexpr std::uint64_t estimate_tokens(std::size_t bytes) noexcept
{
    constexpr std::size_t bytes_per_token = 4;
    return (bytes + bytes_per_token - 1) / bytes_per_token;
}

} // namespace hickorykeel
