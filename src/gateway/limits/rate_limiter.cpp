#include "gateway/limits/rate_limiter.h"

#include <algorithm> // max, min

namespace hickorykeel::gateway {

namespace {

/// Fraction of the burst that a bucket holds when this host starts: the usage just before the start
/// isn't known.
constexpr double initial_burst_fraction = 0.1;

} // namespace

void rate_limiter::refill(bucket& tokens, rate_limit limit, time_point now) const
{
    const double capacity = limit.burst * m_share;
    if (!tokens.is_initialised) {
        tokens.is_initialised = true;
        tokens.level += capacity * initial_burst_fraction;
        tokens.updated = m_started;
    }
    const double gained = limit.rate * m_share * to_seconds(now - tokens.updated);
    tokens.level = std::min(capacity, tokens.level + std::max(0.0, gained));
    tokens.updated = std::max(tokens.updated, now);
}

duration rate_limiter::take(const std::string& organisation, rate_limit limit, double units,
                            time_point now)
{
    if (limit.rate > 0) {
        bucket& tokens = m_buckets[organisation];
        refill(tokens, limit, now);
        if (tokens.level <= 0) {
            return from_seconds(-tokens.level / (limit.rate * m_share)) + duration{1};
        }
        tokens.level -= units;
    }
    m_used[organisation] += units;
    return duration{0};
}

void rate_limiter::refund(const std::string& organisation, double units)
{
    m_buckets[organisation].level += units;
    m_used[organisation] -= units;
}

void rate_limiter::on_report(const usage_report& report)
{
    group_usage& group = m_groups[report.group];
    const auto [it, is_first] = group.hosts.try_emplace(report.host);
    counting_host& host = it->second;
    if (host.incarnation != report.incarnation) {
        host = {report.incarnation, group.charged};
        if (is_first) {
            for (const auto& [organisation, units] : report.used) {
                host.offsets[organisation] -= units;
            }
        }
    }
    for (const auto& [organisation, units] : report.used) {
        double& charged = group.charged[organisation];
        const double counted = host.offsets[organisation] + units;
        if (counted > charged) {
            m_buckets[organisation].level -= counted - charged;
            charged = counted;
        }
    }
}

} // namespace hickorykeel::gateway
