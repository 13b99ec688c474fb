#include "gateway/membership/heartbeat_schedule.h"

#include <algorithm> // find, max
#include <utility>   // exchange, move

namespace hickorykeel::gateway {

namespace {

bool contains(const std::vector<std::string>& ips, const std::string& ip)
{
    return std::find(ips.begin(), ips.end(), ip) != ips.end();
}

} // namespace

heartbeat_schedule::recipients heartbeat_schedule::choose(const member_table& members, bool to_all)
{
    recipients chosen;
    std::vector<std::string> others;
    for (const std::string& ip : members.targets()) {
        const member* host = members.find(ip);
        const bool is_own_region =
            host == nullptr ? members.is_seed(ip) : host->last.region == m_own_region;
        (is_own_region ? chosen.own_region : others).push_back(ip);
    }
    const std::size_t max_hosts = m_options.max_other_region_hosts;
    const std::size_t rounds =
        std::max<std::size_t>(1, (others.size() + max_hosts - 1) / max_hosts);
    chosen.interval = m_options.heartbeat_interval * static_cast<int>(rounds);
    const std::vector<std::string> new_hosts = std::exchange(m_new_hosts, {});
    if (to_all || rounds == 1) {
        chosen.other_regions = std::move(others);
        return chosen;
    }
    // the same number each time, so that after `rounds` calls each host has been sent one
    const std::size_t count = (others.size() + rounds - 1) / rounds;
    for (std::size_t i = 0; i < count; ++i) {
        chosen.other_regions.push_back(others[(m_next + i) % others.size()]);
    }
    m_next = (m_next + count) % others.size();
    for (const std::string& ip : new_hosts) {
        if (contains(others, ip) && !contains(chosen.other_regions, ip)) {
            chosen.other_regions.push_back(ip);
        }
    }
    return chosen;
}

} // namespace hickorykeel::gateway
