#include "gateway/routing/path_monitor.h"

#include <algorithm> // clamp

namespace hickorykeel::gateway {

void path_monitor::on_not_connected(const std::string& endpoint, std::size_t endpoints,
                                    time_point now)
{
    if (!is_lost(now)) {
        std::erase_if(m_failures, [&](const auto& item) {
            return now - item.second > m_options.failure_retention;
        });
    }
    m_failures[endpoint] = now;
    m_endpoints = endpoints;
    m_failed_at = now;
}

bool path_monitor::is_lost(time_point now) const noexcept
{
    return m_failures.size() >= std::clamp<std::size_t>(m_endpoints, 1, m_options.lost_endpoints) &&
           now - m_failed_at < m_options.loss_retention;
}

bool path_monitor::needs_check(std::size_t active, time_point now) const noexcept
{
    const bool has_failed = !m_failures.empty() && now - m_failed_at < m_options.loss_retention;
    const bool is_suspected = now - m_suspected_at < m_options.suspicion_retention;
    return has_failed || is_suspected ||
           (active >= m_options.min_silent_requests && now - m_received_at > m_options.max_silence);
}

} // namespace hickorykeel::gateway
