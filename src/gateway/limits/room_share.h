#pragma once

#include "gateway/limits/cold_owner.h"
#include "gateway/membership/member_table.h"
#include "process/clock.h"

#include <chrono>      // seconds
#include <cstdint>     // uint32_t
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace hickorykeel::gateway {

/// Time after its start for which a host that has heard of no other has no share of room: it may be cut
/// off from hosts that use all of it.
inline constexpr duration unheard_settling_time = std::chrono::seconds{10};

/// Returns the requests that `own` may have under way at an endpoint that has `places` for the
/// requests of all hosts together.
///
/// The shares are equal but for a remainder of one each, and their sum is `places`. Each known host of
/// the region has one, also if it is silent or leaving, since its requests may still be under way; so
/// has each seed that hasn't been heard, as it may be of the region. Where there are more hosts than
/// places, those with the largest rendezvous weights for `endpoint` have one place each.
///
/// Guarantee: no more than `places` requests are under way while the hosts know the same members.
/// A host that has started within `cold_settling_time`, or within `unheard_settling_time` if it has
/// heard of no other one, has no share.
/// @param uptime time since this host's start
///
/// Thread safe. Complexity: O(hosts).
[[nodiscard]] std::uint32_t to_room_share(const member_table& members,
                                          const cold_owner_candidate& own,
                                          std::string_view endpoint, std::uint32_t places,
                                          duration uptime);

/// Returns the IPs of the other hosts of the region that have a share of an endpoint which has fewer
/// places than the region has hosts. Thread safe. Complexity: O(hosts * log(hosts)).
[[nodiscard]] std::vector<std::string> room_share_holders(const member_table& members,
                                                          const cold_owner_candidate& own,
                                                          std::string_view endpoint,
                                                          std::uint32_t places);

} // namespace hickorykeel::gateway
