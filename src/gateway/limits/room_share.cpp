#include "gateway/limits/room_share.h"

#include "gateway/limits/cold_allowance.h"
#include "gateway/routing/rendezvous.h"

#include <algorithm>  // min, sort
#include <cstddef>    // size_t
#include <functional> // greater
#include <utility>    // pair

namespace hickorykeel::gateway {

std::uint32_t to_room_share(const member_table& members, const cold_owner_candidate& own,
                            std::string_view endpoint, std::uint32_t places, duration uptime)
{
    const bool is_alone = members.all().empty() && members.unknown_seeds() > 0;
    if (uptime < (is_alone ? unheard_settling_time : cold_settling_time)) {
        return 0;
    }
    const std::uint64_t key = short_hash(endpoint);
    const std::uint64_t own_weight = rendezvous_weight(key, own.ip);
    auto hosts = static_cast<std::uint32_t>(members.unknown_seeds() + 1);
    std::uint32_t preceding = 0;
    for (const auto& [ip, host] : members.all()) {
        if (host.last.region == own.region) {
            ++hosts;
            preceding += rendezvous_weight(key, ip) > own_weight ? 1 : 0;
        }
    }
    return places / hosts + (preceding < places % hosts ? 1 : 0);
}

std::vector<std::string> room_share_holders(const member_table& members,
                                            const cold_owner_candidate& own,
                                            std::string_view endpoint, std::uint32_t places)
{
    const std::uint64_t key = short_hash(endpoint);
    std::vector<std::pair<std::uint64_t, std::string>> weights;
    for (const auto& [ip, host] : members.all()) {
        if (host.last.region == own.region) {
            weights.emplace_back(rendezvous_weight(key, ip), ip);
        }
    }
    std::sort(weights.begin(), weights.end(), std::greater<>{});
    weights.resize(std::min<std::size_t>(weights.size(), places));
    std::vector<std::string> holders;
    holders.reserve(weights.size());
    for (const auto& [weight, ip] : weights) {
        holders.push_back(ip);
    }
    return holders;
}

} // namespace hickorykeel::gateway
