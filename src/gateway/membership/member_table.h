#pragma once

#include "gateway/membership/heartbeat.h"
#include "process/clock.h"

#include <chrono>   // milliseconds, seconds
#include <cstddef>  // size_t
#include <cstdint>  // uint64_t, uint8_t
#include <map>      // map
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace hickorykeel::gateway {

struct member;

/// Aggregate state of the hosts of one region.
struct region_members {
    /// Hosts within their timeout as of the last `expire()`, and those that became live since.
    int hosts_within_timeout = 0;
    time_point last_seen{}; ///< receipt of the last heartbeat from any of them, here or elsewhere
    service_loads services; ///< capacity, as last reported by one of them
    time_point services_seen{};
    std::vector<const member*> hosts; ///< all in the table, live or not
};

/// A host that sends heartbeats, to this host or to others that report its state.
struct member {
    heartbeat last; ///< the last one received here; its state fields are kept up to date by reports
    time_point last_seen{}; ///< receipt of its last heartbeat, here or elsewhere
    /// Latest time at which it was heard by a host that has introduced it. Tells that it ran, but not
    /// that it can be reached from here.
    time_point introduced_at{};
    duration introduction_interval{0}; ///< between its introductions; 0: none yet
    time_point heard_at{};             ///< receipt of its last heartbeat here
    std::uint64_t heard_sequence = 0;  ///< of its last heartbeat here
    duration report_interval{0};       ///< between reports of other hosts about it; 0: none yet
    time_point leaving_since{};        ///< receipt of the news that it is leaving, if it is
    bool is_lost = false;              ///< its heartbeats have stopped, here or at another host
    /// When `member_table::expire()` first found that it isn't live; unset while it is.
    std::optional<time_point> silent_since;
    region_members* region = nullptr;
};

/// Effect of a heartbeat or report on the table.
enum class member_change : std::uint8_t {
    none,
    updated,     ///< newer, with the same state
    changed,     ///< its state changed, as other hosts should learn at once
    became_live, ///< the host was unknown or not live
    refuted,     ///< the report is out of date: a later heartbeat is known
};

struct member_table_options {
    /// Time without a heartbeat after which a host is not live: it is not named to callers and is
    /// sent no requests. For a host with a long heartbeat interval, the time is
    /// `max_lost_heartbeats` intervals instead if that is longer, provided that heartbeats of other
    /// hosts of its region arrive.
    duration heartbeat_timeout = std::chrono::milliseconds{1'300};
    /// Number of the host's heartbeat intervals that must pass without a heartbeat before it is not
    /// live.
    int max_lost_heartbeats = 3;
    /// Time without a heartbeat of any host of a region, here or elsewhere, after which the hosts of
    /// the region known from reports are not live.
    duration relay_timeout = std::chrono::milliseconds{2'600};
    std::size_t max_hosts = 4'096; ///< further hosts are ignored
    /// Time after which a silent host is removed from the table if it was leaving, or if it is one of
    /// few silent hosts and other hosts of its region are heard. It may then be cut off alone.
    duration retention = std::chrono::seconds{60};
    /// Part of the known hosts that counts as few. If they are removed and still run, they and the
    /// others use as much more than a limit.
    double few_silent = 0.2;
    /// Time after which any other silent host is removed: longer than regions are cut off from each
    /// other.
    duration partition_retention = std::chrono::hours{2};
};

/// The other hosts of the fleet as known from their heartbeats. The table may be stale.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class member_table {
public:
    /// @param own_region of this host
    member_table(std::string own_ip, const std::vector<std::string>& seed_ips,
                 member_table_options options, std::string own_region = {});

    /// @name modifiers
    /// @{

    /// Records a heartbeat. A heartbeat of this host is ignored, and one that is no newer than the
    /// last of the same incarnation.
    member_change on_heartbeat(heartbeat received, time_point now);

    /// Records the state of a host as reported by another one. Ignored if it is about this host, or
    /// no newer than what is known. A host that is unknown isn't added if it is reported as lost.
    /// @param interval maximum time until the next report
    member_change on_report(const relayed_member& reported, const std::string& region,
                            const std::string& failure_domain, duration interval, time_point now);

    /// Records that another host knows a host, which this one may not be able to reach: it isn't live
    /// by that, but is counted, and is sent heartbeats.
    /// @param interval maximum time until the next introduction
    void on_introduction(const relayed_member& introduced, const std::string& region,
                         const std::string& failure_domain, duration interval, time_point now);

    /// Records that the heartbeats of the host at `ip` to this host have stopped unexpectedly. Unless
    /// a later heartbeat is known from a report, the host is not live until one is.
    /// @return whether the host was recorded as lost
    bool on_silence(const std::string& ip, time_point now);

    /// Records the capacity of a region, by a heartbeat of one of its hosts that was received at
    /// `reported_at`, here or elsewhere, unless a newer one is known.
    void on_services(const std::string& region, service_loads services, time_point reported_at);

    /// Replaces the hosts named in the settings.
    void set_seeds(const std::vector<std::string>& seed_ips);

    /// Removes hosts that have been silent for too long to count as running.
    /// @return names of the hosts that are no longer live, each once until its next heartbeat
    std::vector<std::string> expire(time_point now);
    /// @}

    /// @name state
    /// @{

    /// Live hosts in any state, without this one. O(hosts).
    [[nodiscard]] std::vector<const member*> live(time_point now) const;

    /// Live hosts that are ready and not leaving, without this one. O(hosts).
    [[nodiscard]] std::vector<const member*> ready(time_point now) const;

    /// The host with address `ip`, live or not; null if no heartbeat of it is in the table.
    [[nodiscard]] const member* find(const std::string& ip) const;

    /// All hosts in the table, live or not, by ip.
    [[nodiscard]] const std::map<std::string, member>& all() const noexcept { return m_members; }

    [[nodiscard]] const std::vector<std::string>& seeds() const noexcept { return m_seeds; }

    /// State of the regions of which a host is or was known, by name.
    [[nodiscard]] const std::map<std::string, region_members>& regions() const noexcept
    {
        return m_regions;
    }

    /// Whether `candidate`, which is in the table, is live.
    [[nodiscard]] bool is_live(const member& candidate, time_point now) const noexcept;

    /// Whether `candidate`, which is in the table, is live, ready and not leaving.
    [[nodiscard]] bool is_ready(const member& candidate, time_point now) const noexcept
    {
        return candidate.last.is_ready && !candidate.last.is_leaving && is_live(candidate, now);
    }

    /// Whether a heartbeat of `candidate`, which is in the table, was received here within its
    /// timeout.
    [[nodiscard]] bool is_heard(const member& candidate, time_point now) const noexcept
    {
        return candidate.heard_at != time_point{} &&
               now - candidate.heard_at < host_timeout(candidate);
    }

    /// Whether `candidate`, which is in the table, was introduced of late by a host that hears it.
    [[nodiscard]] bool is_heard_elsewhere(const member& candidate, time_point now) const noexcept
    {
        return now - candidate.introduced_at <
               candidate.introduction_interval * m_options.max_lost_heartbeats;
    }

    /// Whether a host of `region` is live.
    [[nodiscard]] bool has_live_host(const std::string& region, time_point now) const;

    /// Whether the settings name the host.
    [[nodiscard]] bool is_seed(const std::string& ip) const;

    /// Number of seeds that aren't in the table.
    [[nodiscard]] std::size_t unknown_seeds() const;

    /// Number of hosts that may be running, with this one: those in the table and the seeds.
    [[nodiscard]] std::size_t known_count() const { return m_members.size() + unknown_seeds() + 1; }

    /// Number of live hosts, with this one.
    [[nodiscard]] std::size_t live_count(time_point now) const { return live(now).size() + 1; }
    [[nodiscard]] const member_table_options& options() const noexcept { return m_options; }
    /// @}

private:
    [[nodiscard]] member* find_or_add(const std::string& ip);
    member_change on_lost(const relayed_member& reported, time_point now);
    member_change record(member& held, time_point seen_at, bool was_live, bool was_leaving,
                         bool has_changed);
    [[nodiscard]] bool is_reported(const member& candidate, time_point now) const noexcept;
    /// Time without a heartbeat here after which a host is not live even if others of its region are.
    [[nodiscard]] duration host_timeout(const member& candidate) const noexcept;
    /// Time without a heartbeat of the region after which none of its hosts is live.
    [[nodiscard]] duration region_timeout(const member& candidate) const noexcept;
    [[nodiscard]] bool is_silent(const member& candidate, time_point now) const;
    [[nodiscard]] bool has_few_silent(time_point now) const;
    [[nodiscard]] bool is_gone(const member& candidate, bool has_few_silent, time_point now) const;
    void update_regions(time_point now);
    void assign_region(member& held);

    std::string m_own_ip;
    std::string m_own_region;
    member_table_options m_options;
    std::vector<std::string> m_seeds;
    std::map<std::string, region_members> m_regions; // by name
    std::map<std::string, member> m_members;         // by ip
};

} // namespace hickorykeel::gateway
