#pragma once

#include <cstdint>       // uint64_t
#include <map>           // map
#include <string>        // string
#include <unordered_map> // unordered_map

namespace hickorykeel::gateway {

/// Sums what the hosts of a region have used, from the counts that each reports for itself.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class usage_totals {
public:
    /// Adds what the host at `ip` has used since its previous report. `used` holds the units by
    /// organisation since the start of the host's `incarnation`; of the first report of a host
    /// nothing is added.
    void on_report(const std::string& ip, std::uint64_t incarnation,
                   const std::map<std::string, double>& used)
    {
        const auto [it, is_first] = m_hosts.try_emplace(ip);
        host_counts& last = it->second;
        if (last.incarnation != incarnation) {
            last = {incarnation, {}};
        }
        for (const auto& [organisation, units] : used) {
            double& known = last.used[organisation];
            if (!is_first) {
                m_totals[organisation] += units - known;
            }
            known = units;
        }
    }

    /// Forgets the host at `ip`; what it has used stays in the sums.
    void remove(const std::string& ip) { m_hosts.erase(ip); }

    /// Units used since the first reports, by organisation.
    [[nodiscard]] const std::map<std::string, double>& totals() const noexcept { return m_totals; }

private:
    struct host_counts {
        std::uint64_t incarnation = 0;
        std::map<std::string, double> used;
    };

    std::unordered_map<std::string, host_counts> m_hosts; // by ip
    std::map<std::string, double> m_totals;
};

} // namespace hickorykeel::gateway
