#pragma once

#include "process/clock.h"

#include <chrono>        // milliseconds, seconds
#include <cstdint>       // uint32_t, uint64_t
#include <map>           // map
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace hickorykeel::gateway {

/// Capacity of a region for requests to one service.
struct service_load {
    duration expected_wait{0}; ///< expected time to first byte of a typical request
    std::uint32_t free_places = 0;
};

/// Load that one host, or a group of hosts, has placed on an endpoint.
struct endpoint_load {
    std::uint32_t active = 0;
    std::uint32_t waiting_tokens = 0; ///< prompt tokens sent that the engine has yet to process
};

/// A shared prompt prefix that was sent to an endpoint, which caches it.
struct sent_prefix {
    std::uint64_t prefix = 0;   ///< id of the prompt's longest prefix that other requests may share
    std::uint32_t endpoint = 0; ///< hash of the endpoint's id
};

/// Heartbeat of a host.
struct heartbeat {
    std::string host;
    std::string ip;
    std::string failure_domain;
    std::string region;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool is_ready = false;
    bool is_leaving = false;
    bool has_configuration = false;
    std::uint64_t configuration_version = 0;
    duration configuration_age{0}; ///< since it was confirmed up to date
    duration interval{0};          ///< maximum time until the next heartbeat to this receiver
    std::map<std::string, service_load> services;
    std::unordered_map<std::uint32_t, endpoint_load> endpoints; ///< by hash of the endpoint's id
    std::map<std::string, double> used; ///< units since the start, by organisation
    std::vector<sent_prefix> prompts;   ///< sent since the previous heartbeat
    /// Hashes of endpoints that reported being warm within their cold time.
    std::vector<std::uint32_t> warm_endpoints;
    std::vector<std::string> known_ips;
};

/// Aggregate state of the hosts of one region.
struct region_members {
    /// Hosts within their timeout as of the last `expire()`, and those that became live since.
    int hosts_within_timeout = 0;
    time_point last_seen{}; ///< receipt of the last heartbeat from any of them
};

/// A host from which a heartbeat was received.
struct member {
    heartbeat last;
    time_point last_seen{};
    const region_members* region = nullptr;
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
    /// Time without a heartbeat after which a host is removed from the table.
    duration retention = std::chrono::seconds{60};
};

/// The other hosts of the fleet as known from their heartbeats. The table may be stale.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class member_table {
public:
    member_table(std::string own_ip, const std::vector<std::string>& seed_ips,
                 member_table_options options);

    /// @name modifiers
    /// @{

    /// Records a heartbeat and the hosts that it names. A heartbeat of this host is ignored; of one
    /// that is no newer than the last of the same incarnation only the sender's address and the
    /// named hosts are recorded.
    /// @return whether the sender was unknown or not live before
    bool on_heartbeat(heartbeat received, time_point now);

    /// Adds hosts named in the settings; those already known as seeds are left as they are.
    void add_seeds(const std::vector<std::string>& seed_ips);

    /// Removes hosts without a heartbeat for the retention time.
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

    /// IP addresses to send heartbeats to: the seeds, the senders of heartbeats and the hosts named
    /// in them, without those that `expire()` removed.
    [[nodiscard]] const std::vector<std::string>& targets() const noexcept { return m_targets; }

    /// Whether the settings name the host.
    [[nodiscard]] bool is_seed(const std::string& ip) const;

    /// Number of hosts that may be running, with this one: those in the table and the seeds.
    [[nodiscard]] std::size_t known_count() const;

    /// Number of live hosts, with this one.
    [[nodiscard]] std::size_t live_count(time_point now) const { return live(now).size() + 1; }
    [[nodiscard]] const member_table_options& options() const noexcept { return m_options; }
    /// @}

private:
    void add_target(const std::string& ip);
    [[nodiscard]] bool is_live(const member& candidate, time_point now) const noexcept;
    /// Time without a heartbeat after which a host is not live even if others of its region are.
    [[nodiscard]] duration host_timeout(const member& candidate) const noexcept;
    void count_hosts_within_timeout(time_point now);

    std::string m_own_ip;
    member_table_options m_options;
    std::vector<std::string> m_seeds;
    std::vector<std::string> m_targets;
    std::map<std::string, region_members> m_regions; // by name
    std::map<std::string, member> m_members;         // by ip
    std::map<std::string, bool> m_was_live;          // by ip
};

} // namespace hickorykeel::gateway
