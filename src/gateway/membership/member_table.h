#pragma once

#include "process/clock.h"

#include <chrono>        // milliseconds, seconds
#include <cstdint>       // uint32_t, uint64_t
#include <map>           // map
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace hickorykeel::gateway {

/// What a region could do for a request to a service now.
struct service_load {
    duration expected_wait{0}; ///< until a typical request is begun
    std::uint32_t free_places = 0;
};

/// What one host has under way at an endpoint.
struct endpoint_load {
    std::uint32_t active = 0;
    std::uint32_t waiting_tokens = 0; ///< prompt tokens that were sent and are not yet read
};

/// A prompt that was sent to an endpoint.
struct sent_prefix {
    std::uint64_t prefix = 0;   ///< id of its longest prefix that other requests may share
    std::uint32_t endpoint = 0; ///< hash of the id
};

/// A host's heartbeat.
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
    duration configuration_age{0}; ///< since the sender's configuration was certainly the newest
    duration interval{0};          ///< until the receiver gets the next one at the latest
    std::map<std::string, service_load> services;
    std::unordered_map<std::uint32_t, endpoint_load> endpoints; ///< by hash of the id
    std::map<std::string, double> used;                         ///< units since the start
    std::vector<sent_prefix> prompts;                           ///< since the heartbeat before
    std::vector<std::uint32_t> warm_endpoints; ///< that said of late that they aren't cold
    std::vector<std::string> known_ips;
};

/// What is known of a region's hosts together.
struct region_members {
    int running_hosts = 0;  ///< hosts whose next heartbeat isn't overdue, as of the last `expire()`
    time_point last_seen{}; ///< the last heartbeat of any of them
};

/// A host that has been heard.
struct member {
    heartbeat last;
    time_point last_seen{};
    const region_members* region = nullptr;
};

struct member_table_options {
    /// A host that is silent for so long is named to no caller and gets no work; one that sends
    /// less often has longer, while other hosts of its region are heard.
    duration heartbeat_timeout = std::chrono::milliseconds{1'300};
    /// Heartbeats in a row that may be lost.
    int max_lost_heartbeats = 3;
    /// A host that is silent for so long is forgotten.
    duration retention = std::chrono::seconds{60};
};

/// The hosts that this one has heard of. The list lags behind the truth.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class member_table {
public:
    member_table(std::string own_ip, const std::vector<std::string>& seed_ips,
                 member_table_options options);

    /// @name modifiers
    /// @{

    /// Takes a heartbeat in. An older one than the last of the same incarnation changes nothing.
    /// @return whether the host was silent or unknown before
    bool on_heartbeat(heartbeat received, time_point now);

    /// Adds hosts that the settings name anew.
    void add_seeds(const std::vector<std::string>& seed_ips);

    /// Forgets hosts that have been silent for long. Returns those that have just fallen silent.
    std::vector<std::string> expire(time_point now);
    /// @}

    /// @name state
    /// @{

    /// Hosts heard of late, whatever their state; without this one.
    [[nodiscard]] std::vector<const member*> live(time_point now) const;

    /// Live hosts that take callers, without this one.
    [[nodiscard]] std::vector<const member*> ready(time_point now) const;

    [[nodiscard]] const member* find(const std::string& ip) const;

    /// Where to send heartbeats: the seeds, and all that was heard of.
    [[nodiscard]] const std::vector<std::string>& targets() const noexcept { return m_targets; }

    /// Whether the settings name the host.
    [[nodiscard]] bool is_seed(const std::string& ip) const;

    /// Hosts that may be running, with this one: the live ones and those silent for less than the
    /// memory. At least the seeds.
    [[nodiscard]] std::size_t known_count() const;

    /// Hosts that count as running, with this one.
    [[nodiscard]] std::size_t live_count(time_point now) const { return live(now).size() + 1; }
    [[nodiscard]] const member_table_options& options() const noexcept { return m_options; }
    /// @}

private:
    void add_target(const std::string& ip);
    [[nodiscard]] bool is_live(const member& candidate, time_point now) const noexcept;
    /// Silence after which a host is lost, whatever is heard of its region.
    [[nodiscard]] duration host_timeout(const member& candidate) const noexcept;
    void count_running(time_point now);

    std::string m_own_ip;
    member_table_options m_options;
    std::vector<std::string> m_seeds;
    std::vector<std::string> m_targets;
    std::map<std::string, region_members> m_regions; // by name
    std::map<std::string, member> m_members;         // by ip
    std::map<std::string, bool> m_was_live;          // by ip
};

} // namespace hickorykeel::gateway
