#include "gateway/limits/cold_owner.h"

#include "gateway/routing/rendezvous.h"

#include <algorithm> // none_of
#include <cstdint>   // uint64_t

namespace hickorykeel::gateway {

bool is_cold_owner(const member_table& members, const cold_owner_candidate& own,
                   std::string_view endpoint, time_point now)
{
    const std::uint64_t key = short_hash(endpoint);
    const std::uint64_t own_weight = rendezvous_weight(key, own.ip);
    return std::none_of(members.all().begin(), members.all().end(), [&](const auto& item) {
        const auto& [ip, host] = item;
        return host.last.region == own.region && !host.last.is_leaving &&
               rendezvous_weight(key, ip) > own_weight && members.is_live(host, now);
    });
}

} // namespace hickorykeel::gateway
