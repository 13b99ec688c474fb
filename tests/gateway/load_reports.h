#pragma once

#include "gateway/routing/endpoint_pool.h"

#include <cstddef>       // size_t
#include <deque>         // deque
#include <unordered_map> // unordered_map
#include <utility>       // move
#include <vector>        // vector

namespace hickorykeel::gateway::tests {

/// Reports of the simulated hosts of a region about the load that they have placed on engines. All
/// hosts get them after the same delay.
///
/// Thread safety: none.
class load_reports {
public:
    explicit load_reports(duration delay) : m_delay{delay} {}

    /// Takes a report of each host. @param pools by host
    void send(std::vector<endpoint_pool>& pools, time_point now)
    {
        report sent;
        sent.received_at = now + m_delay;
        for (endpoint_pool& pool : pools) {
            sent.loads.push_back(pool.own_loads());
            const std::vector<sent_prefix> prompts = pool.take_sent_prefixes();
            sent.prompts.insert(sent.prompts.end(), prompts.begin(), prompts.end());
        }
        m_reports.push_back(std::move(sent));
    }

    /// Gives each host the reports of the others that are due. @param pools by host
    void receive(std::vector<endpoint_pool>& pools, time_point now)
    {
        while (!m_reports.empty() && m_reports.front().received_at <= now) {
            apply(m_reports.front(), pools, now);
            m_reports.pop_front();
        }
    }

private:
    struct report {
        time_point received_at{};
        std::vector<endpoint_loads> loads; ///< by host
        std::vector<sent_prefix> prompts;
    };

    static endpoint_loads sum_of(const report& received)
    {
        endpoint_loads sums;
        for (const endpoint_loads& of_host : received.loads) {
            for (const auto& [hash, load] : of_host) {
                sums[hash].active += load.active;
                sums[hash].waiting_tokens += load.waiting_tokens;
            }
        }
        return sums;
    }

    static void apply(const report& received, std::vector<endpoint_pool>& pools, time_point now)
    {
        const endpoint_loads sums = sum_of(received);
        for (std::size_t host = 0; host < pools.size(); ++host) {
            endpoint_loads others = sums;
            for (const auto& [hash, load] : received.loads[host]) {
                others[hash].active -= load.active;
                others[hash].waiting_tokens -= load.waiting_tokens;
            }
            pools[host].set_peer_loads(others);
            for (const sent_prefix& prefix : received.prompts) {
                pools[host].on_peer_prefix(prefix, now);
            }
        }
    }

    duration m_delay;
    std::deque<report> m_reports;
};

} // namespace hickorykeel::gateway::tests
