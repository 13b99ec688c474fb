#pragma once

#include "process/clock.h"

#include <cstdint>       // uint64_t
#include <map>           // map
#include <string>        // string
#include <unordered_map> // unordered_map

namespace hickorykeel::gateway {

/// An organisation's fleet-wide limit.
struct rate_limit {
    double rate = 0;  ///< units a second; 0: no limit
    double burst = 0; ///< units
};

/// Fleet-wide limits of organisations, kept by every host from what all hosts report.
///
/// Each host keeps one bucket for the whole fleet's use of an organisation: own admissions are
/// taken at once, those of other hosts when their heartbeat reports them. Between two heartbeats
/// the fleet can pass the limit; the bucket then goes below zero and the excess is paid back, so
/// that over a window only the use of one reporting delay is in excess. A host that doesn't hear
/// all others takes only the part of the rate that belongs to the hosts that it does hear.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class rate_limiter {
public:
    /// Buckets fill from `started` on.
    explicit rate_limiter(time_point started) : m_started{started} {}

    /// @name use
    /// @{

    /// Takes `units` if the bucket isn't empty.
    /// @return zero if they were taken, or the time until the bucket is above zero
    duration take(const std::string& organisation, rate_limit limit, double units, time_point now);

    /// Returns units of a request that did not run.
    void refund(const std::string& organisation, double units);
    /// @}

    /// @name other hosts
    /// @{

    /// Takes in what another host has admitted since its start.
    void on_report(const std::string& host, std::uint64_t incarnation,
                   const std::map<std::string, double>& used);

    /// Sets the part of every rate that this host's side may use.
    /// Precondition: 0 < `share` <= 1.
    void set_share(double share) noexcept { m_share = share; }

    [[nodiscard]] double share() const noexcept { return m_share; }

    /// Units left of an organisation's bucket when it was last asked; negative: in excess.
    [[nodiscard]] double level(const std::string& organisation) const
    {
        const auto found = m_buckets.find(organisation);
        return found == m_buckets.end() ? 0 : found->second.level;
    }

    /// What this host has admitted since its start.
    [[nodiscard]] const std::map<std::string, double>& used() const noexcept { return m_used; }
    /// @}

private:
    struct bucket {
        double level = 0;
        time_point updated{};
        bool is_known = false;
    };

    struct reported {
        std::uint64_t incarnation = 0;
        std::map<std::string, double> used;
    };

    void refill(bucket& account, rate_limit limit, time_point now) const;

    time_point m_started;
    double m_share = 1;
    std::unordered_map<std::string, bucket> m_buckets;
    std::unordered_map<std::string, reported> m_reports; // by host
    std::map<std::string, double> m_used;
};

} // namespace hickorykeel::gateway
