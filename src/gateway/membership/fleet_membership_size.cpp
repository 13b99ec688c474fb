#include "gateway/membership/fleet_membership.h"

#include <algorithm> // any_of, max, min
#include <cstddef>   // size_t
#include <map>       // map
#include <set>       // set

// How many hosts the fleet may have, whether they are heard or not.

namespace hickorykeel::gateway {

fleet_size fleet_membership::size(time_point now) const
{
    fleet_size size{1, expected_hosts(now)};
    for (const auto& [ip, host] : m_members.all()) {
        const bool is_accounted =
            m_members.is_live(host, now) ||
            (m_members.is_heard_elsewhere(host, now) && knows_usage(host.last.region, now));
        size.accounted += is_accounted ? 1 : 0;
    }
    size.expected = std::max(size.expected, size.accounted);
    return size;
}

/// Returns the number of hosts that may be running, with this one.
std::size_t fleet_membership::expected_hosts(time_point now) const
{
    const bool may_assume = !m_started || now - *m_started < m_options.assumption_time;
    const bool has_others = !m_members.seeds().empty() || m_options.regions.size() > 1;
    if (!m_has_heard && has_others && may_assume) {
        return m_options.assumed_hosts * std::max<std::size_t>(1, m_options.regions.size());
    }
    std::map<std::string, std::size_t> known{{m_own.region, 1}};
    for (const auto& [ip, host] : m_members.all()) {
        ++known[host.last.region];
    }
    std::size_t largest = 1;
    std::size_t sum = m_members.unknown_seeds();
    for (auto& [region, hosts] : known) {
        // a region that was replaced by other hosts doesn't know its former ones
        const std::size_t stated = stated_hosts(region, now);
        hosts = stated > 0 ? std::min(hosts, stated) : hosts;
        largest = std::max(largest, hosts);
        sum += hosts;
    }
    if (may_assume) {
        for (const std::string& region : m_options.regions) {
            sum += known.contains(region) ? 0 : largest;
        }
    }
    return sum;
}

/// Whether what the hosts of another region use becomes known here.
bool fleet_membership::knows_usage(const std::string& region, time_point now) const
{
    const auto found = m_regions.find(region);
    return found != m_regions.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](const auto& item) {
               return now - item.second.received < m_options.max_region_age;
           });
}

/// Returns the most hosts that a host of another region says to know of that region; 0: none says.
std::uint32_t fleet_membership::stated_hosts(const std::string& region, time_point now) const
{
    std::uint32_t most = 0;
    const auto found = m_regions.find(region);
    if (found == m_regions.end()) {
        return most;
    }
    for (const auto& [ip, held] : found->second) {
        if (now - held.received < m_options.max_region_age) {
            most = std::max(most, held.state.known_hosts);
        }
    }
    return most;
}

/// Returns the regions of which this region hears no host.
std::vector<std::string> fleet_membership::unheard_regions(time_point now) const
{
    std::set<std::string> regions = m_options.regions;
    for (const auto& [region, state] : m_members.regions()) {
        if (!state.hosts.empty()) {
            regions.insert(region);
        }
    }
    regions.erase(m_own.region);
    std::vector<std::string> unheard;
    for (const std::string& region : regions) {
        if (!m_members.has_live_host(region, now)) {
            unheard.push_back(region);
        }
    }
    return unheard;
}

} // namespace hickorykeel::gateway
