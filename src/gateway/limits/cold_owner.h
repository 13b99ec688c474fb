#pragma once

#include "gateway/limits/cold_allowance.h"
#include "gateway/membership/member_table.h"
#include "process/clock.h"

#include <chrono>      // milliseconds
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace hickorykeel::gateway {

/// This host as a candidate.
struct cold_owner_candidate {
    std::string ip;
    std::string region;
    bool is_leaving = false;
};

/// Time for which a host that has begun to leave, or has fallen silent, has no successor as an owner.
/// It is longer than the window of `cold_rate_limiter`, so that the requests that it has sent aren't
/// added to those of its successor, and than the time within which the hosts of a region notice a
/// partition.
inline constexpr duration cold_handover_time = std::chrono::milliseconds{1'200};

/// Time after its start within which a host hears most others of its region, so that few hosts that
/// have started together take themselves for the owner of one endpoint.
inline constexpr duration hearing_time = std::chrono::milliseconds{400};

/// Returns whether `own` is the owner of a cold endpoint: the host with the largest rendezvous
/// weight among the live hosts of its region that are not leaving. A host that is leaving owns
/// none; the endpoints that it owned, and those of a host that has fallen silent, have no owner for
/// `cold_handover_time`. Hosts with the same members agree on it.
///
/// Thread safe. Complexity: O(hosts).
[[nodiscard]] bool is_cold_owner(const member_table& members, const cold_owner_candidate& own,
                                 std::string_view endpoint, time_point now);

/// Whether this host's side of a partition may send to cold endpoints: it does once the live hosts
/// of its region, this one included, have been a part of 1 / `max_cold_sides` of the known ones for
/// `cold_handover_time`. After a partition heals, the time lets the other sides notice it.
///
/// Thread safety: none; the owner serialises calls.
class cold_side {
public:
    /// Counts the live hosts of `region` again; to be called at the heartbeat interval, after
    /// `member_table::expire()`. O(hosts).
    void update(const member_table& members, const std::string& region, time_point now);

    [[nodiscard]] bool may_send(time_point now) const noexcept
    {
        return m_large_since && now - *m_large_since >= cold_handover_time;
    }

private:
    std::optional<time_point> m_large_since; ///< unset while the side is too small
};

/// Returns this host's view of the ownership of a cold endpoint.
///
/// Thread safe. Complexity: O(hosts).
[[nodiscard]] cold_ownership to_cold_ownership(const member_table& members,
                                               const cold_owner_candidate& own,
                                               const cold_side& side, std::string_view endpoint,
                                               time_point now);

} // namespace hickorykeel::gateway
