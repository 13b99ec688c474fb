#include "gateway/routing/start_share.h"

#include <algorithm> // count_if, max, min

namespace hickorykeel::gateway {

namespace {

/// Requests that are remembered. A host that has sent more in the period has heard its peers, or gets
/// nothing done for them.
constexpr std::size_t max_sent = 512;

} // namespace

start_share::start_share(start_share_options options, time_point started)
    : m_options{options}, m_end{started + options.period}, m_heard_since{started}
{
}

void start_share::on_hosts(const known_hosts& hosts, time_point now)
{
    if (hosts.heard > m_hosts.heard) {
        m_heard_since = now;
    }
    m_hosts = hosts;
}

void start_share::on_sent(double tokens, time_point now)
{
    if (!is_active(now)) {
        m_sent.clear();
        return;
    }
    ++m_active;
    if (m_sent.size() >= max_sent) {
        m_sent.erase(m_sent.begin());
    }
    m_sent.push_back({now, tokens});
}

bool start_share::has_heard_peers(time_point now) const noexcept
{
    const duration needed =
        m_hosts.heard > 1 ? m_options.settling_time : 2 * m_options.settling_time;
    return now - m_heard_since >= needed;
}

/// Returns the number of hosts that may be running, and of whose load nothing has been heard.
double start_share::unheard(time_point now) const noexcept
{
    const std::size_t known =
        has_heard_peers(now) ? m_hosts.region
                             : std::max(m_options.assumed_hosts, m_hosts.region + m_hosts.unplaced);
    return static_cast<double>(known - std::min(known, m_hosts.heard));
}

double start_share::caution(time_point now) const noexcept
{
    return is_active(now) && !has_heard_peers(now) ? 1 / m_options.capacity_share : 1;
}

assumed_load start_share::assumed(std::size_t endpoints, double tokens_per_s, time_point now) const
{
    if (!is_active(now) || endpoints == 0 || m_sent.empty()) {
        return {};
    }
    const double unheard_hosts = unheard(now);
    const auto heard_peers = static_cast<double>(m_hosts.heard - 1);
    const auto spread = static_cast<double>(endpoints);
    // the endpoints read in the meantime
    double unread = 0;
    time_point last = m_sent.front().at;
    for (const sent_request& sent : m_sent) {
        unread = std::max(0.0, unread - tokens_per_s * to_seconds(sent.at - last));
        last = sent.at;
        const double peers = unheard_hosts + (sent.at > m_hosts.as_of ? heard_peers : 0);
        unread += sent.tokens * peers / spread;
    }
    unread = std::max(0.0, unread - tokens_per_s * to_seconds(now - last));
    const auto since = std::count_if(m_sent.begin(), m_sent.end(),
                                     [this](const auto& sent) { return sent.at > m_hosts.as_of; });
    const auto active = static_cast<double>(m_active);
    return {(unheard_hosts * active + heard_peers * std::min(active, static_cast<double>(since))) /
                spread,
            unread};
}

} // namespace hickorykeel::gateway
