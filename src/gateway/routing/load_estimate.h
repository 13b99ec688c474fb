#pragma once

#include "gateway/membership/heartbeat.h"
#include "gateway/routing/load_statement.h"
#include "process/clock.h"

#include <chrono>   // milliseconds, seconds
#include <cstdint>  // uint32_t
#include <optional> // optional

namespace hickorykeel::gateway {

struct load_estimate_options {
    /// Age at which a statement and the outstanding requests have equal weights.
    duration statement_half_life = std::chrono::milliseconds{300};
    /// Age at which half of an endpoint's difference from its service's mean pace is left.
    duration pace_half_life = std::chrono::milliseconds{500};
    /// Age at which half of an endpoint's difference from the mean of unread tokens is left. An engine
    /// reads the prompts that it holds within some hundred ms.
    duration tokens_half_life = std::chrono::milliseconds{200};
};

/// The newest statement of an endpoint, and what this host has done since.
struct aged_statement {
    load_statement load; ///< its pace is a mean over the last statements
    duration age{0};
    std::uint32_t sent_since = 0;  ///< requests that this host has sent to it since
    std::uint32_t ended_since = 0; ///< of this host's requests
};

/// Requests at an endpoint as the hosts know them.
struct outstanding_load {
    endpoint_load own;     ///< of this host; up to date
    endpoint_load peers;   ///< of the region's other hosts
    duration peers_age{0}; ///< of `peers`
};

/// Means over the endpoints of a service, towards which old values tend.
struct service_means {
    double pace = 1;
    double peer_tokens = 0;                       ///< unread prompt tokens of peers at one endpoint
    duration residence = std::chrono::seconds{1}; ///< time that a request is at an endpoint
};

/// Present load of an endpoint.
struct load_estimate {
    double running = 0;
    double waiting = 0;       ///< requests that the endpoint has accepted and not begun
    double unread_tokens = 0; ///< prompt tokens that it has to read before those of a new request
    double pace = 1;
};

/// Estimates the present load of an endpoint with `slots` slots as published. The weight of the
/// newest statement decreases with its age; the outstanding requests have the rest. Without a
/// statement only these count. The number of waiting requests is the expected number beyond the
/// slots, given what peers may have sent since their load was reported, so that it isn't 0 for an
/// endpoint whose slots are nearly all taken. Thread safe.
[[nodiscard]] load_estimate estimate_load(const std::optional<aged_statement>& stated,
                                          const outstanding_load& outstanding,
                                          const service_means& means, std::uint32_t slots,
                                          const load_estimate_options& options = {});

} // namespace hickorykeel::gateway
