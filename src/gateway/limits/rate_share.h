#pragma once

#include "gateway/limits/cold_owner.h"
#include "gateway/membership/member_table.h"
#include "process/clock.h"

#include <cstddef>     // size_t
#include <string_view> // string_view

namespace hickorykeel::gateway {

/// Requests that a host may hold back for one endpoint and send at once. A request can't be divided,
/// so each host with a share of a rate adds as much to what arrives in any span.
inline constexpr double rate_share_burst = 1;

/// Rate at which an endpoint that takes no requests is asked whether that still holds, over all
/// hosts.
inline constexpr double min_endpoint_rate = 0.1; // requests per second

/// Returns the most hosts of a region that hold shares of `rate` requests per second at a time.
/// Thread safe.
[[nodiscard]] std::size_t max_rate_shares(double rate) noexcept;

/// Returns the requests per second that `own` may send to an endpoint that takes `rate` of them from
/// all hosts together, at least `min_endpoint_rate`.
///
/// The shares are equal, and held by up to `max_rate_shares()` of the region's hosts: those with the
/// largest rendezvous weights for `endpoint` among the hosts that are known and not leaving. Hosts
/// that have fallen silent count, as they may only be cut off: their shares aren't used meanwhile,
/// so that the sides of a partition together don't exceed the rate.
///
/// Guarantee: if each host spends its share from a token bucket of `rate_share_burst` that begins
/// empty, no more than `rate` * s + `max_rate_shares()` requests are sent in any s seconds while the
/// hosts know the same members. A host that has heard of no other yet, or has started within
/// `cold_settling_time`, has no share.
/// @param uptime time since this host's start
///
/// Thread safe. Complexity: O(hosts).
[[nodiscard]] double to_rate_share(const member_table& members, const cold_owner_candidate& own,
                                   std::string_view endpoint, double rate, duration uptime);

} // namespace hickorykeel::gateway
