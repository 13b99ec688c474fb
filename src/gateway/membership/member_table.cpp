#include "gateway/membership/member_table.h"

#include <algorithm> // count_if, find, max
#include <utility>   // move

namespace hickorykeel::gateway {

member_table::member_table(std::string own_ip, const std::vector<std::string>& seed_ips,
                           member_table_options options)
    : m_own_ip{std::move(own_ip)}, m_options{options}
{
    add_seeds(seed_ips);
}

void member_table::add_seeds(const std::vector<std::string>& seed_ips)
{
    for (const std::string& ip : seed_ips) {
        if (ip != m_own_ip && std::find(m_seeds.begin(), m_seeds.end(), ip) == m_seeds.end()) {
            m_seeds.push_back(ip);
            add_target(ip);
        }
    }
}

void member_table::add_target(const std::string& ip)
{
    if (ip != m_own_ip && std::find(m_targets.begin(), m_targets.end(), ip) == m_targets.end()) {
        m_targets.push_back(ip);
    }
}

bool member_table::is_seed(const std::string& ip) const
{
    return std::find(m_seeds.begin(), m_seeds.end(), ip) != m_seeds.end();
}

bool member_table::is_live(const member& candidate, time_point now) const noexcept
{
    if (candidate.region == nullptr) {
        return false; // no heartbeat received yet
    }
    // with several hosts within their timeout, heartbeats of the region arrive the more often: if
    // none does for that fraction of the host's timeout, the region is partitioned from this host,
    // or lost
    const duration region_timeout = std::max<duration>(
        m_options.heartbeat_timeout,
        host_timeout(candidate) / std::max(1, candidate.region->hosts_within_timeout));
    return now - candidate.last_seen < host_timeout(candidate) &&
           now - candidate.region->last_seen < region_timeout;
}

duration member_table::host_timeout(const member& candidate) const noexcept
{
    return std::max<duration>(m_options.heartbeat_timeout,
                              candidate.last.interval * m_options.max_lost_heartbeats);
}

void member_table::count_hosts_within_timeout(time_point now)
{
    for (auto& [name, region] : m_regions) {
        region.hosts_within_timeout = 0;
    }
    for (const auto& [ip, held] : m_members) {
        if (now - held.last_seen < host_timeout(held)) {
            ++m_regions[held.last.region].hosts_within_timeout;
        }
    }
}

bool member_table::on_heartbeat(heartbeat received, time_point now)
{
    if (received.ip == m_own_ip) {
        return false;
    }
    add_target(received.ip);
    for (const std::string& ip : received.known_ips) {
        add_target(ip);
    }
    member& held = m_members[received.ip];
    if (received.incarnation == held.last.incarnation && received.sequence <= held.last.sequence) {
        return false;
    }
    const bool was_not_live = !is_live(held, now) || held.last_seen == time_point{};
    region_members& region = m_regions[received.region];
    region.last_seen = now;
    region.hosts_within_timeout += was_not_live ? 1 : 0;
    held.region = &region;
    held.last = std::move(received);
    held.last_seen = now;
    m_was_live[held.last.ip] = true;
    return was_not_live;
}

std::vector<std::string> member_table::expire(time_point now)
{
    count_hosts_within_timeout(now);
    std::vector<std::string> lost_hosts;
    for (auto it = m_members.begin(); it != m_members.end();) {
        const auto& [ip, held] = *it;
        if (!is_live(held, now) && m_was_live[ip]) {
            m_was_live[ip] = false;
            lost_hosts.push_back(held.last.host);
        }
        if (now - held.last_seen < m_options.retention) {
            ++it;
            continue;
        }
        if (!is_seed(ip)) {
            std::erase(m_targets, ip);
        }
        m_was_live.erase(ip);
        it = m_members.erase(it);
    }
    return lost_hosts;
}

std::vector<const member*> member_table::live(time_point now) const
{
    std::vector<const member*> found;
    for (const auto& [ip, held] : m_members) {
        if (is_live(held, now)) {
            found.push_back(&held);
        }
    }
    return found;
}

std::vector<const member*> member_table::ready(time_point now) const
{
    std::vector<const member*> found = live(now);
    std::erase_if(found, [](const member* candidate) {
        return !candidate->last.is_ready || candidate->last.is_leaving;
    });
    return found;
}

const member* member_table::find(const std::string& ip) const
{
    const auto found = m_members.find(ip);
    return found == m_members.end() ? nullptr : &found->second;
}

std::size_t member_table::known_count() const
{
    const auto unseen = std::count_if(m_seeds.begin(), m_seeds.end(),
                                      [this](const auto& ip) { return !m_members.contains(ip); });
    return m_members.size() + static_cast<std::size_t>(unseen) + 1;
}

} // namespace hickorykeel::gateway
