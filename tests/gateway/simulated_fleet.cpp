#include "simulated_fleet.h"

#include <algorithm> // count_if, max, min
#include <cstddef>   // ptrdiff_t
#include <limits>    // numeric_limits
#include <utility>   // exchange, move

namespace hickorykeel::gateway {

namespace {

constexpr duration region_latency = std::chrono::microseconds{500};
constexpr duration fleet_latency = std::chrono::milliseconds{80};

} // namespace

simulated_fleet::simulated_fleet(const fleet_shape& shape) : m_shape{shape}, m_random{shape.seed}
{
    std::vector<int> sizes = shape.hosts_by_region;
    const int domains = sizes.empty() ? shape.domains_per_region : 1;
    if (sizes.empty()) {
        sizes.assign(static_cast<std::size_t>(shape.regions), shape.hosts_per_domain);
    }
    int region = 0;
    std::vector<std::string> first_ips;
    for (const int hosts : sizes) {
        ++region;
        first_ips.push_back("10." + std::to_string(region) + ".1.1");
        m_shape.options.regions.insert("region-" + std::to_string(region));
        for (int domain = 1; domain <= domains; ++domain) {
            for (int i = 1; i <= hosts; ++i) {
                add_host(region, domain, i);
            }
        }
    }
    const auto seeds = std::min(static_cast<std::size_t>(shape.seeds), first_ips.size());
    m_seed_ips.assign(first_ips.begin(), first_ips.begin() + static_cast<std::ptrdiff_t>(seeds));
}

void simulated_fleet::add_host(int region, int domain, int number)
{
    host added;
    added.ip = "10." + std::to_string(region) + '.' + std::to_string(domain) + '.' +
               std::to_string(number);
    added.region = "region-" + std::to_string(region);
    added.failure_domain = added.region + '-' + std::to_string(domain);
    added.state.is_ready = true;
    added.state.has_configuration = true;
    m_index_by_ip[added.ip] = m_hosts.size();
    m_hosts.push_back(std::move(added));
}

void simulated_fleet::set_seeds(std::vector<std::string> ips)
{
    m_seed_ips = std::move(ips);
    for (host& running : m_hosts) {
        if (running.is_running) {
            running.membership->members().set_seeds(m_seed_ips);
        }
    }
}

void simulated_fleet::start(std::size_t index)
{
    host& started = m_hosts[index];
    started.membership = std::make_unique<fleet_membership>(
        host_identity{"host-" + started.ip, started.ip, started.failure_domain, started.region,
                      ++m_incarnations},
        m_seed_ips, m_shape.options);
    started.is_running = true;
    started.is_frozen = false;
    started.waiting_datagrams.clear();
    if (on_start) {
        on_start(started);
    }
    std::uniform_int_distribution<int> delay{0, 200};
    started.next_heartbeat = m_now + std::chrono::milliseconds{delay(m_random)};
}

void simulated_fleet::start_all()
{
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        start(index);
    }
}

void simulated_fleet::wake(std::size_t index)
{
    host& woken = m_hosts[index];
    woken.is_running = true;
    woken.is_frozen = false;
    for (const std::string& bytes : std::exchange(woken.waiting_datagrams, {})) {
        receive(woken, bytes, m_now);
    }
}

void simulated_fleet::run_for(duration span)
{
    const time_point end = m_now + span;
    while (m_now < end) {
        const time_point next = std::min(end, m_now + std::chrono::milliseconds{10});
        deliver_until(next);
        m_now = next;
        for (host& sender : m_hosts) {
            if (sender.is_running && sender.next_heartbeat <= m_now) {
                sender.lost_hosts += sender.membership->expire(m_now).size();
                if (on_send) {
                    on_send(sender);
                }
                send(sender);
                sender.next_heartbeat += m_shape.options.schedule.heartbeat_interval;
            }
        }
    }
}

void simulated_fleet::send(host& from)
{
    std::uniform_real_distribution<double> fraction{0, 1};
    for (outgoing_heartbeat& sent : from.membership->send(from.state, m_now)) {
        ++from.sent_datagrams;
        from.sent_bytes += sent.datagram.size();
        const auto found = m_index_by_ip.find(sent.ip);
        if (found == m_index_by_ip.end()) {
            continue;
        }
        const host& to = m_hosts[found->second];
        const bool is_same_region = to.region == from.region;
        from.sent_bytes_between_regions += is_same_region ? 0 : sent.datagram.size();
        if (fraction(m_random) < m_shape.loss || (m_filter && !m_filter(from, to))) {
            continue;
        }
        m_in_transit.emplace(m_now + (is_same_region ? region_latency : fleet_latency),
                             datagram{found->second, std::move(sent.datagram)});
    }
}

void simulated_fleet::deliver_until(time_point until)
{
    while (!m_in_transit.empty() && m_in_transit.begin()->first <= until) {
        const time_point at = m_in_transit.begin()->first;
        const datagram received = std::move(m_in_transit.begin()->second);
        m_in_transit.erase(m_in_transit.begin());
        host& to = m_hosts[received.to];
        if (to.is_running) {
            receive(to, received.bytes, at);
        }
        else if (to.is_frozen) {
            to.waiting_datagrams.push_back(received.bytes);
        }
    }
}

void simulated_fleet::receive(host& to, const std::string& bytes, time_point at)
{
    const received_news news = to.membership->on_datagram(bytes, at);
    if (on_news) {
        on_news(to, news);
    }
}

void simulated_fleet::reset_counters()
{
    for (host& counted : m_hosts) {
        counted.sent_bytes = 0;
        counted.sent_bytes_between_regions = 0;
        counted.sent_datagrams = 0;
        counted.lost_hosts = 0;
    }
}

std::size_t simulated_fleet::fewest_live() const
{
    std::size_t fewest = std::numeric_limits<std::size_t>::max();
    for (const host& observer : m_hosts) {
        if (observer.is_running) {
            fewest = std::min(fewest, observer.membership->members().live_count(m_now));
        }
    }
    return fewest;
}

std::size_t simulated_fleet::most_live() const
{
    std::size_t most = 0;
    for (const host& observer : m_hosts) {
        if (observer.is_running) {
            most = std::max(most, observer.membership->members().live_count(m_now));
        }
    }
    return most;
}

std::size_t simulated_fleet::running() const
{
    return static_cast<std::size_t>(
        std::count_if(m_hosts.begin(), m_hosts.end(), [](const host& h) { return h.is_running; }));
}

std::uint64_t simulated_fleet::lost_hosts() const
{
    std::uint64_t lost = 0;
    for (const host& observer : m_hosts) {
        lost += observer.lost_hosts;
    }
    return lost;
}

} // namespace hickorykeel::gateway
