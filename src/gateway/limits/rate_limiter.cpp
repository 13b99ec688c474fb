#include "gateway/limits/rate_limiter.h"

#include <algorithm> // max, min

namespace hickorykeel::gateway {

namespace {

/// Part of the burst that a host without memory starts with: what was used just before its start
/// isn't known yet.
constexpr double start_part = 0.1;

} // namespace

void rate_limiter::refill(bucket& account, rate_limit limit, time_point now) const
{
    const double capacity = limit.burst * m_share;
    if (!account.is_known) {
        account.is_known = true;
        account.level += capacity * start_part;
        account.updated = m_started;
    }
    const double gained = limit.rate * m_share * to_seconds(now - account.updated);
    account.level = std::min(capacity, account.level + std::max(0.0, gained));
    account.updated = std::max(account.updated, now);
}

duration rate_limiter::take(const std::string& organisation, rate_limit limit, double units,
                            time_point now)
{
    if (limit.rate > 0) {
        bucket& account = m_buckets[organisation];
        refill(account, limit, now);
        if (account.level <= 0) {
            return from_seconds(-account.level / (limit.rate * m_share)) + duration{1};
        }
        account.level -= units;
    }
    m_used[organisation] += units;
    return duration{0};
}

void rate_limiter::refund(const std::string& organisation, double units)
{
    m_buckets[organisation].level += units;
    m_used[organisation] -= units;
}

void rate_limiter::on_report(const std::string& host, std::uint64_t incarnation,
                             const std::map<std::string, double>& used)
{
    reported& last = m_reports[host];
    const bool is_first = last.incarnation == 0;
    if (last.incarnation != incarnation) {
        last = {incarnation, {}};
    }
    for (const auto& [organisation, units] : used) {
        double& known = last.used[organisation];
        // what a host used before this one first heard it lies before this one's own bucket
        if (!is_first) {
            m_buckets[organisation].level -= units - known;
        }
        known = units;
    }
}

} // namespace hickorykeel::gateway
