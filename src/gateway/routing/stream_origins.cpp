#include "gateway/routing/stream_origins.h"

#include "gateway/routing/rendezvous.h"

#include <algorithm> // max

namespace hickorykeel::gateway {

void stream_origins::on_begun(std::string_view attempt_id, const std::string& service,
                              std::uint32_t software_version, time_point expires, time_point now)
{
    const std::uint64_t stream = long_hash(attempt_id);
    record(stream, software_version, expires, now);
    std::deque<untold_stream>& untold = m_untold[service];
    untold.push_back({stream, m_options.tellings});
    if (untold.size() > m_options.max_streams) {
        untold.pop_front();
    }
}

void stream_origins::on_peer_report(const stream_report& report, time_point now)
{
    if (report.remaining > duration{0}) {
        record(report.stream, report.software_version, now + report.remaining, now);
    }
}

void stream_origins::record(std::uint64_t stream, std::uint32_t software_version,
                            time_point expires, time_point now)
{
    const auto [found, is_new] = m_streams.try_emplace(stream, origin{software_version, expires});
    if (is_new) {
        m_order.push_back(stream);
        make_room(now);
        return;
    }
    origin& known = found->second;
    if (known.expires <= now) {
        known = {software_version, expires};
        return;
    }
    if (known.software_version != software_version) {
        known.software_version = std::nullopt;
    }
    known.expires = std::max(known.expires, expires);
}

/// Forgets streams that nobody may resume any more, and the oldest ones if there are too many.
void stream_origins::make_room(time_point now)
{
    while (!m_order.empty()) {
        const auto oldest = m_streams.find(m_order.front());
        if (oldest->second.expires > now && m_streams.size() <= m_options.max_streams) {
            return;
        }
        m_streams.erase(oldest);
        m_order.pop_front();
    }
}

bool stream_origins::is_recorded(std::string_view attempt_id, time_point now) const
{
    const auto found = m_streams.find(long_hash(attempt_id));
    return found != m_streams.end() && found->second.expires > now;
}

std::optional<std::uint32_t> stream_origins::find(std::string_view attempt_id, time_point now) const
{
    const auto found = m_streams.find(long_hash(attempt_id));
    if (found == m_streams.end() || found->second.expires <= now) {
        return std::nullopt;
    }
    return found->second.software_version;
}

std::vector<stream_report>
stream_origins::take_reports(const std::function<bool(const std::string& service)>& has_several,
                             time_point now)
{
    std::vector<stream_report> reports;
    for (auto& [service, untold] : m_untold) {
        const bool is_told = has_several(service);
        std::size_t left = untold.size(); // those told now are told again at the next heartbeat
        for (; left > 0 && reports.size() < m_options.max_reports; --left) {
            untold_stream next = untold.front();
            const auto known = m_streams.find(next.stream);
            const bool is_over = known == m_streams.end() || known->second.expires <= now;
            if (!is_over && !is_told) {
                break;
            }
            untold.pop_front();
            if (is_over || !known->second.software_version) {
                continue;
            }
            reports.push_back(
                {next.stream, *known->second.software_version, known->second.expires - now});
            if (--next.tellings_left > 0) {
                untold.push_back(next);
            }
        }
    }
    return reports;
}

} // namespace hickorykeel::gateway
