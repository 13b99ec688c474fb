#include "process/dispatch_directory.h"

#include <algorithm> // any_of, stable_sort
#include <utility>   // move, swap

namespace hickorykeel {

dispatch_directory::dispatch_directory(std::string own_host, std::string own_failure_domain,
                                       std::string own_address)
    : m_own_host(std::move(own_host)), m_own_failure_domain(std::move(own_failure_domain)),
      m_own_address(std::move(own_address))
{
    dispatch_peer own;
    own.host = m_own_host;
    own.failure_domain = m_own_failure_domain;
    own.address = m_own_address;
    m_peers.emplace(m_own_address, std::move(own));
}

void dispatch_directory::apply(const host_list& listed)
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, dispatch_peer> peers;
    // the own dispatch process is used whether or not the list knows it already
    peers.insert(m_peers.extract(m_own_address));
    for (const host& each : listed.hosts) {
        if (each.name == m_own_host) {
            continue;
        }
        dispatch_peer peer;
        if (const auto known = m_peers.find(each.dispatch_address); known != m_peers.end()) {
            peer = std::move(known->second);
        }
        peer.host = each.name;
        peer.failure_domain = each.failure_domain;
        peer.address = each.dispatch_address;
        peers.insert_or_assign(each.dispatch_address, std::move(peer));
    }
    m_peers.swap(peers);
}

void dispatch_directory::on_pong(const std::string& address, std::uint64_t incarnation,
                                 const link::pong& pong, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_peers.find(address);
    if (found == m_peers.end()) {
        return;
    }
    dispatch_peer& peer = found->second;
    peer.incarnation = incarnation;
    peer.is_leaving = pong.leaving();
    peer.last_heard = now;
    peer.loads.clear();
    for (const link::target_load& load : pong.loads()) {
        peer.loads[load.target()] = {load.live_endpoints(), load.running(), load.queued(),
                                     load.slots(), load.wait_seconds()};
    }
}

std::vector<std::string> dispatch_directory::addresses() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> all;
    for (const auto& [address, peer] : m_peers) {
        all.push_back(address);
    }
    return all;
}

std::vector<dispatch_peer> dispatch_directory::candidates(const std::string& target_name,
                                                          time_point now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<dispatch_peer> live;
    for (const auto& [address, peer] : m_peers) {
        const auto load = peer.loads.find(target_name);
        const bool is_live = peer.incarnation != 0 && now - peer.last_heard < silence_limit;
        if (is_live && !peer.is_leaving && load != peer.loads.end() &&
            load->second.live_endpoints > 0) {
            live.push_back(peer);
        }
    }
    const auto distance = [this](const dispatch_peer& peer) {
        if (peer.address == m_own_address) {
            return 0;
        }
        return peer.failure_domain == m_own_failure_domain ? 1 : 2;
    };
    std::stable_sort(live.begin(), live.end(),
                     [&](const dispatch_peer& left, const dispatch_peer& right) {
                         return distance(left) < distance(right);
                     });
    return live;
}

bool dispatch_directory::is_alive(const std::string& address, time_point now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_peers.find(address);
    return found != m_peers.end() && found->second.incarnation != 0 &&
           now - found->second.last_heard < silence_limit;
}

std::optional<time_point> dispatch_directory::last_heard(const std::string& address) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_peers.find(address);
    if (found == m_peers.end() || found->second.incarnation == 0) {
        return std::nullopt;
    }
    return found->second.last_heard;
}

bool dispatch_directory::is_any_ready(time_point now) const
{
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& row) {
        const dispatch_peer& peer = row.second;
        return peer.incarnation != 0 && now - peer.last_heard < silence_limit && !peer.is_leaving &&
               !peer.loads.empty();
    });
}

} // namespace hickorykeel
