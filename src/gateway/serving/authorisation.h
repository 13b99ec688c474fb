#pragma once

#include "gateway/configuration/published_state.h"
#include "gateway/http/message.h"
#include "process/clock.h"

#include <chrono>      // milliseconds
#include <string>      // string
#include <string_view> // string_view
#include <variant>     // variant

namespace hickorykeel::gateway {

struct authorisation_options {
    /// Maximum age of a configuration from which the absence of a route or key is concluded.
    duration max_trusted_age = std::chrono::milliseconds{3'000};
    /// Retry-After delay if no current configuration or keys are known.
    duration retry_after = std::chrono::milliseconds{1'000};
};

/// What the published configuration says of a request that it allows.
struct authorisation {
    publication_ptr published;
    const route* matched_route = nullptr; ///< in `published`
    std::string organisation;             ///< empty if the caller needs no key
    /// Organisation whose key was sent, even if the route needs no key; empty: none.
    std::string key_owner;
    int priority = 0; ///< 0 is the most urgent

    /// The organisation in `published`, or null if there is none. Thread safe.
    [[nodiscard]] const hickorykeel::gateway::organisation* find_organisation() const;

    /// The organisation whose key was sent, even if the route needs no key, or null. A request is
    /// forwarded only to home regions of this organisation. Thread safe.
    [[nodiscard]] const hickorykeel::gateway::organisation* find_key_owner() const;
};

/// Why a request is refused.
struct authorisation_refusal {
    int status = 0;
    std::string_view code;
    duration retry_after{0}; ///< 0: none is sent
};

using authorisation_result = std::variant<authorisation, authorisation_refusal>;

/// Returns whether the published configuration allows a request with `head` and the API key `key`.
/// A host whose configuration may be outdated refuses with 503 what it doesn't know. No side
/// effects.
[[nodiscard]] authorisation_result
authorise_request(const published_state& state, const message_head& head, const std::string& key,
                  const authorisation_options& options, time_point now);

} // namespace hickorykeel::gateway
