#include "process/dispatch_directory.h"

#include "process/configuration_relay.h"

#include <algorithm> // all_of, any_of, max, min, sort
#include <utility>   // move, swap

namespace hickorykeel {
namespace detail {

// what a dispatch process can take, without how long it takes
bool is_same_offer(const dispatch_peer& peer, std::uint64_t incarnation, const link::pong& pong)
{
    if (peer.incarnation != incarnation || peer.is_leaving != pong.leaving() ||
        peer.loads.size() != static_cast<std::size_t>(pong.loads_size())) {
        return false;
    }
    return std::all_of(pong.loads().begin(), pong.loads().end(),
                       [&](const link::target_load& load) {
                           const auto known = peer.loads.find(load.target());
                           return known != peer.loads.end() &&
                                  (known->second.live_endpoints > 0) == (load.live_endpoints() > 0);
                       });
}

// adds one more sample to a mean
duration add_to_mean(duration mean, std::size_t count, duration sample)
{
    return mean + (sample - mean) / static_cast<std::int64_t>(count + 1);
}

bool is_silent(const dispatch_peer& peer, time_point now)
{
    return peer.unanswered_since &&
           now - *peer.unanswered_since >= dispatch_directory::silence_limit;
}

bool is_suspect(const dispatch_peer& peer, time_point now)
{
    return peer.is_suspect ||
           (peer.unanswered_since &&
            now - *peer.unanswered_since >= dispatch_directory::suspect_limit + 2 * peer.way);
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

void dispatch_directory::apply(const host_list& listed, time_point now)
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
    renew_routes(now);
}

void dispatch_directory::apply(const configuration& in_force, time_point now)
{
    const std::lock_guard lock(m_mutex);
    m_failure_domains = in_force.failure_domains;
    renew_routes(now);
}

void dispatch_directory::on_pong(const std::string& address, std::uint64_t incarnation,
                                 const link::pong& pong, std::optional<duration> round_trip,
                                 time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_peers.find(address);
    if (found == m_peers.end()) {
        return;
    }
    dispatch_peer& peer = found->second;
    const bool is_news = !may_take_requests(peer, now) || detail::is_suspect(peer, now) ||
                         !detail::is_same_offer(peer, incarnation, pong);
    peer.incarnation = incarnation;
    peer.is_leaving = pong.leaving();
    peer.last_heard = now;
    peer.way = round_trip.value_or(2 * peer.way) / 2;
    peer.unanswered_since.reset();
    peer.is_suspect = false;
    peer.loads.clear();
    for (const link::target_load& load : pong.loads()) {
        peer.loads[load.target()] = {load.live_endpoints(), load.running(),
                                     load.queued(),         load.slots(),
                                     load.wait_seconds(),   load.batch_wait_seconds()};
    }
    if (is_news) {
        renew_routes(now);
    }
}

void dispatch_directory::suspect(const std::string& address, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_peers.find(address);
    if (found == m_peers.end() || found->second.is_suspect) {
        return;
    }
    found->second.is_suspect = true;
    renew_routes(now);
}

void dispatch_directory::refresh(time_point now)
{
    const std::lock_guard lock(m_mutex);
    renew_routes(now);
}

// precondition: the mutex is held
void dispatch_directory::renew_routes(time_point now)
{
    const bool is_any_suspect = std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& row) {
        return detail::is_suspect(row.second, now);
    });
    m_routes = make_routes(route_scope::trusted, now);
    m_last_resort = is_any_suspect ? make_routes(route_scope::all, now) : m_routes;
}

// precondition: the mutex is held
dispatch_directory::routes_by_target dispatch_directory::make_routes(route_scope scope,
                                                                     time_point now) const
{
    std::map<std::string, std::shared_ptr<target_route>> routes;
    const auto is_in_scope = [&](const dispatch_peer& peer) {
        return may_take_requests(peer, now) &&
               (scope == route_scope::all || !detail::is_suspect(peer, now));
    };
    const auto add = [&](const dispatch_peer& peer) {
        for (const auto& [target_name, load] : peer.loads) {
            if (load.live_endpoints > 0) {
                auto& route = routes[target_name];
                if (!route) {
                    route = std::make_shared<target_route>();
                }
                add_to(*route, peer, load);
            }
        }
    };
    // the own one is the first of its failure domain
    const auto own = m_peers.find(m_own_address);
    if (own != m_peers.end() && is_in_scope(own->second)) {
        add(own->second);
    }
    for (const auto& [address, peer] : m_peers) {
        if (address != m_own_address && is_in_scope(peer)) {
            add(peer);
        }
    }
    return {routes.begin(), routes.end()};
}

void dispatch_directory::add_to(target_route& route, const dispatch_peer& peer,
                                const dispatch_load& load) const
{
    const std::size_t at = place_in(route, peer.failure_domain);
    auto& members = route.members[at];
    const auto add = [&](domain_view& view, double wait_seconds) {
        const bool is_first = members.empty();
        view.live_endpoints = std::max<std::size_t>(view.live_endpoints, load.live_endpoints);
        view.measured_latency = is_first ? peer.way : std::min(view.measured_latency, peer.way);
        // where the own dispatch process can take a request, it does
        const bool is_own_known = !is_first && members.front().address == m_own_address;
        if (!is_own_known) {
            view.expected_wait =
                detail::add_to_mean(view.expected_wait, members.size(), from_seconds(wait_seconds));
        }
    };
    add(route.interactive[at], load.wait_seconds);
    add(route.batch[at], load.batch_wait_seconds);
    members.push_back({peer.host, peer.failure_domain, peer.address});
}

std::size_t dispatch_directory::place_in(target_route& route, const std::string& domain) const
{
    for (std::size_t i = 0; i < route.members.size(); ++i) {
        if (route.interactive[i].domain.name == domain) {
            return i;
        }
    }
    const auto known = m_failure_domains.find(domain);
    domain_view view;
    view.domain = {domain, known != m_failure_domains.end() ? known->second.region : ""};
    route.interactive.push_back(view);
    route.batch.push_back(view);
    route.members.emplace_back();
    return route.members.size() - 1;
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

target_route_ptr dispatch_directory::route_to(const std::string& target_name,
                                              route_scope scope) const
{
    const std::lock_guard lock(m_mutex);
    const routes_by_target& routes = scope == route_scope::all ? m_last_resort : m_routes;
    const auto found = routes.find(target_name);
    return found == routes.end() ? nullptr : found->second;
}

bool dispatch_directory::is_alive(const std::string& address, time_point now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_peers.find(address);
    return found != m_peers.end() && found->second.incarnation != 0 &&
           !detail::is_silent(found->second, now);
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
        return may_take_requests(row.second, now) && !row.second.loads.empty();
    });
}

} // namespace hickorykeel
