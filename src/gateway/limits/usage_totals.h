#pragma once

#include "process/clock.h"

#include <chrono>        // milliseconds
#include <cstdint>       // uint64_t
#include <map>           // map
#include <string>        // string
#include <unordered_map> // unordered_map

namespace hickorykeel::gateway {

/// Sums of what the hosts of a region have used and refused, from the counts that each host reports
/// of itself.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class usage_totals {
public:
    /// Time without a report of a host after which what it has used in that time isn't added, since
    /// it has kept to its own share of the limits.
    static constexpr duration report_timeout = std::chrono::milliseconds{2'600};

    using counts = std::map<std::string, double>; // units by organisation

    /// Adds what the host at `ip` has used and refused since its previous report. `used` and
    /// `refused` hold the units since the start of the host's `incarnation`. Nothing is added of the
    /// first report of a host, nor of the first one after it was silent for the timeout.
    void on_report(const std::string& ip, std::uint64_t incarnation, const counts& used,
                   const counts& refused, time_point now)
    {
        const auto [it, is_first] = m_hosts.try_emplace(ip);
        host_counts& last = it->second;
        const bool is_added = !is_first && now - last.heard_at < report_timeout;
        if (last.incarnation != incarnation) {
            last = {incarnation, {}, {}, {}};
        }
        last.heard_at = now;
        add(used, last.used, m_totals, is_added);
        add(refused, last.refused, m_refused, is_added);
    }

    /// Forgets the host at `ip`; what it has used stays in the sums.
    void remove(const std::string& ip) { m_hosts.erase(ip); }

    /// Units used since the first reports, by organisation.
    [[nodiscard]] const counts& totals() const noexcept { return m_totals; }

    /// Units of refused requests since the first reports, by organisation.
    [[nodiscard]] const counts& refused() const noexcept { return m_refused; }

private:
    struct host_counts {
        std::uint64_t incarnation = 0;
        counts used;
        counts refused;
        time_point heard_at{};
    };

    static void add(const counts& reported, counts& last, counts& sums, bool is_added)
    {
        for (const auto& [organisation, units] : reported) {
            double& known = last[organisation];
            if (is_added) {
                sums[organisation] += units - known;
            }
            known = units;
        }
    }

    std::unordered_map<std::string, host_counts> m_hosts; // by ip
    counts m_totals;
    counts m_refused;
};

} // namespace hickorykeel::gateway
