#include "gateway/limits/cold_owner.h"

#include "gateway/routing/rendezvous.h"

#include <algorithm> // all_of, none_of
#include <cstddef>   // size_t
#include <cstdint>   // uint64_t

namespace hickorykeel::gateway {

namespace {

/// Whether `host` may be an owner, or has been one too recently for another to take its place.
bool is_owner_candidate(const member_table& members, const member& host, time_point now)
{
    if (host.last.is_leaving) {
        return now - host.leaving_since < cold_handover_time;
    }
    return members.is_live(host, now) || !host.silent_since ||
           now - *host.silent_since < cold_handover_time;
}

/// Whether the live hosts of `region`, this one included, are a large enough part of those that
/// exist. A host that has heard of no other yet can't tell.
bool is_large_side(const member_table& members, const std::string& region, time_point now)
{
    if (members.all().empty() && !members.seeds().empty()) {
        return false;
    }
    std::size_t known = 1;
    std::size_t live = 1;
    for (const auto& [ip, host] : members.all()) {
        if (host.last.region == region) {
            ++known;
            live += members.is_live(host, now) ? 1 : 0;
        }
    }
    return live * max_cold_sides >= known;
}

/// Whether all hosts of `region` that are known are live, and all seeds are known: one that isn't may
/// be of the region.
bool are_all_live(const member_table& members, const std::string& region, time_point now)
{
    return members.unknown_seeds() == 0 &&
           std::all_of(members.all().begin(), members.all().end(), [&](const auto& item) {
               return item.second.last.region != region || members.is_live(item.second, now);
           });
}

} // namespace

bool is_cold_owner(const member_table& members, const cold_owner_candidate& own,
                   std::string_view endpoint, time_point now)
{
    if (own.is_leaving) {
        return false;
    }
    const std::uint64_t key = short_hash(endpoint);
    const std::uint64_t own_weight = rendezvous_weight(key, own.ip);
    return std::none_of(members.all().begin(), members.all().end(), [&](const auto& item) {
        const auto& [ip, host] = item;
        return host.last.region == own.region && rendezvous_weight(key, ip) > own_weight &&
               is_owner_candidate(members, host, now);
    });
}

void cold_side::update(const member_table& members, const std::string& region, time_point now)
{
    if (!is_large_side(members, region, now)) {
        m_large_since.reset();
    }
    else if (!m_large_since) {
        m_large_since = now;
    }
}

cold_ownership to_cold_ownership(const member_table& members, const cold_owner_candidate& own,
                                 const cold_side& side, std::string_view endpoint, time_point now)
{
    return {.is_owner = is_cold_owner(members, own, endpoint, now),
            .all_hosts_live = are_all_live(members, own.region, now),
            .is_large_side = side.may_send(now)};
}

} // namespace hickorykeel::gateway
