#include "gateway/limits/cold_owner.h"

#include "gateway/routing/rendezvous.h"

#include <algorithm> // none_of
#include <cstdint>   // uint64_t

namespace hickorykeel::gateway {

namespace {

/// Whether `host` may be an owner, or has been one too recently for another to take its place.
bool is_owner_candidate(const member_table& members, const member& host, time_point now)
{
    return host.last.is_leaving ? now - host.leaving_since < cold_handover_time
                                : members.is_live(host, now);
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

} // namespace hickorykeel::gateway
