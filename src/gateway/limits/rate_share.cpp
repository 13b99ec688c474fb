#include "gateway/limits/rate_share.h"

#include "gateway/limits/cold_allowance.h"
#include "gateway/routing/rendezvous.h"

#include <algorithm> // max, min
#include <cstdint>   // uint64_t

namespace hickorykeel::gateway {

namespace {

/// Hosts that hold shares of any rate.
constexpr std::size_t min_rate_shares = 3;

} // namespace

std::size_t max_rate_shares(double rate) noexcept
{
    return min_rate_shares + static_cast<std::size_t>(std::max(0.0, rate));
}

double to_rate_share(const member_table& members, const cold_owner_candidate& own,
                     std::string_view endpoint, double rate, duration uptime)
{
    const bool is_alone = members.all().empty() && !members.seeds().empty();
    if (own.is_leaving || is_alone || uptime < cold_settling_time) {
        return 0;
    }
    const double shared = std::max(rate, min_endpoint_rate);
    const std::uint64_t key = short_hash(endpoint);
    const std::uint64_t own_weight = rendezvous_weight(key, own.ip);
    std::size_t hosts = 1;
    std::size_t preceding = 0;
    for (const auto& [ip, host] : members.all()) {
        if (host.last.region == own.region && !host.last.is_leaving) {
            ++hosts;
            preceding += rendezvous_weight(key, ip) > own_weight ? 1 : 0;
        }
    }
    const std::size_t shares = std::min(hosts, max_rate_shares(shared));
    return preceding < shares ? shared / static_cast<double>(shares) : 0;
}

} // namespace hickorykeel::gateway
