#include "gateway/membership/directory_choice.h"

#include <algorithm> // find, min
#include <array>     // array

namespace hickorykeel::gateway {

namespace {

enum nearness : std::size_t { same_domain, same_region, home_region, elsewhere, nearness_count };

nearness to_nearness(const directory_candidate& candidate, const directory_caller& caller)
{
    if (candidate.failure_domain == caller.failure_domain) {
        return same_domain;
    }
    if (candidate.region == caller.region) {
        return same_region;
    }
    const auto& homes = caller.home_regions;
    const bool is_home =
        homes.empty() || std::find(homes.begin(), homes.end(), candidate.region) != homes.end();
    return is_home ? home_region : elsewhere;
}

} // namespace

std::vector<std::string> choose_addresses(const std::vector<directory_candidate>& candidates,
                                          const directory_caller& caller, std::size_t most)
{
    std::array<std::vector<std::string>, nearness_count> found;
    for (const directory_candidate& candidate : candidates) {
        found[to_nearness(candidate, caller)].push_back(candidate.address);
    }
    for (auto& addresses : found) {
        if (!addresses.empty()) {
            addresses.resize(std::min(addresses.size(), most));
            return addresses;
        }
    }
    return {};
}

} // namespace hickorykeel::gateway
