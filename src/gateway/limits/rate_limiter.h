#pragma once

#include "process/clock.h"

#include <cstdint>       // uint64_t
#include <map>           // map
#include <string>        // string
#include <unordered_map> // unordered_map

namespace hickorykeel::gateway {

/// An organisation's fleet-wide limit.
struct rate_limit {
    double rate = 0;  ///< units per second; 0: no limit
    double burst = 0; ///< units
};

/// A host's count of what a group of hosts has used.
struct usage_report {
    std::string group; ///< for example the hosts of a region
    std::string host;  ///< that counts
    std::uint64_t incarnation = 0;
    std::map<std::string, double> used; ///< units by organisation since some point in time
};

/// Fleet-wide rate limits of organisations, enforced by each host from the usage that all report.
///
/// Each host keeps one token bucket per organisation for the usage of the whole fleet: its own
/// admissions are charged at once, those of other hosts when their heartbeats report them. Between
/// two heartbeats the fleet can exceed the limit; the level then falls below zero and the excess is
/// recovered before more is admitted, so that over any window only the usage of one reporting delay
/// is in excess. A host for which some known hosts are not live applies only the share of the
/// rate and burst that belongs to the live ones.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class rate_limiter {
public:
    /// Buckets are refilled from `started` on.
    explicit rate_limiter(time_point started) : m_started{started} {}

    /// @name usage
    /// @{

    /// Charges `units` to `organisation` if the level of its bucket is above zero or `limit` has no
    /// rate; the level may fall below zero.
    /// @return zero if the units were charged, else the time until the level is above zero
    duration take(const std::string& organisation, rate_limit limit, double units, time_point now);

    /// Gives the units of a request that was not executed back to `organisation`.
    void refund(const std::string& organisation, double units);
    /// @}

    /// @name other hosts
    /// @{

    /// Charges what a group of hosts has admitted since the previous reports about it. Several hosts
    /// may count the same group; what any of them has counted is charged once. Of the first report
    /// of a host nothing is charged, and after a restart its counts are taken to start from zero.
    void on_report(const usage_report& report);

    /// Sets the fraction of each rate and burst that this host and its live peers may use together.
    /// Precondition: 0 < `share` <= 1.
    void set_share(double share) noexcept { m_share = share; }

    [[nodiscard]] double share() const noexcept { return m_share; }

    /// Units in an organisation's bucket, without what has been refilled since the last `take()`;
    /// negative: in excess; 0 if there is no bucket.
    [[nodiscard]] double level(const std::string& organisation) const
    {
        const auto found = m_buckets.find(organisation);
        return found == m_buckets.end() ? 0 : found->second.level;
    }

    /// Units that this host has admitted since its start, by organisation.
    [[nodiscard]] const std::map<std::string, double>& used() const noexcept { return m_used; }
    /// @}

private:
    struct bucket {
        double level = 0;
        time_point updated{};
        bool is_initialised = false;
    };

    /// Counts of one host. A count and its offset add up to the units charged for the group, as far
    /// as this host has counted them.
    struct counting_host {
        std::uint64_t incarnation = 0;
        std::map<std::string, double> offsets; // by organisation
    };

    struct group_usage {
        std::map<std::string, double> charged; // by organisation
        std::unordered_map<std::string, counting_host> hosts;
    };

    void refill(bucket& tokens, rate_limit limit, time_point now) const;

    time_point m_started;
    double m_share = 1;
    std::unordered_map<std::string, bucket> m_buckets;
    std::unordered_map<std::string, group_usage> m_groups;
    std::map<std::string, double> m_used;
};

} // namespace hickorykeel::gateway
