#include "process/dispatch_directory.h"

#include "process/configuration_relay.h"

#include <algorithm> // any_of, sort, stable_sort
#include <utility>   // move, swap

namespace hickorykeel {

namespace detail {

bool is_silent(const dispatch_peer& peer, time_point now)
{
    return peer.unanswered_since &&
           now - *peer.unanswered_since >= dispatch_directory::silence_limit;
}

void ask(dispatch_peer& peer, time_point now, std::vector<std::string>& due)
{
    peer.last_asked = now;
    if (!peer.unanswered_since) {
        peer.unanswered_since = now;
    }
    due.push_back(peer.address);
}

using peers_by_address = std::map<std::string, dispatch_peer>;

void rank(const peers_by_address& peers, const std::string& own_host,
          std::vector<std::string>& addresses)
{
    std::sort(addresses.begin(), addresses.end(),
              [&](const std::string& left, const std::string& right) {
                  return rendezvous_score(own_host, peers.at(left).host) >
                         rendezvous_score(own_host, peers.at(right).host);
              });
}

} // namespace detail

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
    m_elsewhere.clear();
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
        if (!is_near(peer)) {
            m_elsewhere[peer.failure_domain].push_back(peer.address);
        }
        peers.insert_or_assign(each.dispatch_address, std::move(peer));
    }
    for (auto& [name, addresses] : m_elsewhere) {
        detail::rank(peers, m_own_host, addresses);
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
    peer.unanswered_since.reset();
    peer.loads.clear();
    for (const link::target_load& load : pong.loads()) {
        peer.loads[load.target()] = {load.live_endpoints(), load.running(), load.queued(),
                                     load.slots(), load.wait_seconds()};
    }
}

std::vector<std::string> dispatch_directory::take_due(time_point now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> due;
    for (auto& [address, peer] : m_peers) {
        if (is_near(peer)) {
            detail::ask(peer, now, due);
        }
    }
    for (const auto& [name, ranked] : m_elsewhere) {
        take_due_elsewhere(ranked, now, due);
    }
    return due;
}

void dispatch_directory::take_due_elsewhere(const std::vector<std::string>& ranked, time_point now,
                                            std::vector<std::string>& due)
{
    std::size_t count = 0;
    for (const std::string& address : ranked) {
        dispatch_peer& peer = m_peers.at(address);
        if (peer.last_asked == time_point{} || now - peer.last_asked >= far_interval) {
            detail::ask(peer, now, due);
        }
        if (!peer.is_leaving && !detail::is_silent(peer, now) && ++count == asked_elsewhere) {
            return;
        }
    }
}

bool dispatch_directory::is_near(const dispatch_peer& peer) const
{
    return peer.failure_domain == m_own_failure_domain;
}

bool dispatch_directory::may_take_requests(const dispatch_peer& peer, time_point now) const
{
    // what one said that is asked no more is out of date
    const duration oldest = silence_limit + (is_near(peer) ? duration{0} : far_interval);
    return peer.incarnation != 0 && !peer.is_leaving && now - peer.last_heard < oldest;
}

std::vector<dispatch_peer> dispatch_directory::candidates(const std::string& target_name,
                                                          time_point now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<dispatch_peer> live;
    for (const auto& [address, peer] : m_peers) {
        const auto load = peer.loads.find(target_name);
        if (may_take_requests(peer, now) && load != peer.loads.end() &&
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
           !detail::is_silent(found->second, now);
}

bool dispatch_directory::is_any_ready(time_point now) const
{
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& row) {
        return may_take_requests(row.second, now) && !row.second.loads.empty();
    });
}

} // namespace hickorykeel
