#pragma once

#include "gateway/membership/member_table.h"
#include "process/clock.h"

#include <string>      // string
#include <string_view> // string_view

namespace hickorykeel::gateway {

/// Address and region of this host.
struct cold_owner_candidate {
    std::string ip;
    std::string region;
};

/// Returns whether `own` is the owner of a cold endpoint: the host with the largest rendezvous
/// weight among the live hosts of its region that are not leaving. Hosts with the same members
/// agree on it.
///
/// Thread safe. Complexity: O(hosts).
[[nodiscard]] bool is_cold_owner(const member_table& members, const cold_owner_candidate& own,
                                 std::string_view endpoint, time_point now);

} // namespace hickorykeel::gateway
