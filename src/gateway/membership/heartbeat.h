#pragma once

#include "gateway/configuration/source_position.h"
#include "gateway/routing/load_statement.h"
#include "gateway/routing/prompt_quarantine.h"
#include "gateway/routing/restart_report.h"
#include "gateway/routing/stream_origins.h"
#include "gateway/routing/version_history.h"
#include "process/clock.h"

#include <cstdint>       // uint32_t, uint64_t, uint8_t
#include <map>           // map
#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace hickorykeel::gateway {

/// Capacity of a region for requests to one service.
struct service_load {
    duration expected_wait{0}; ///< expected time to first byte of a typical request
    std::uint32_t free_places = 0;
};

using service_loads = std::map<std::string, service_load>; // by service

/// Load that one host, or a group of hosts, has placed on an endpoint.
struct endpoint_load {
    std::uint32_t active = 0;
    std::uint32_t waiting_tokens = 0; ///< prompt tokens sent that the engine has yet to process
};

using endpoint_loads = std::unordered_map<std::uint32_t, endpoint_load>; // by hash of the id

/// Hosts that have seen the end of an incarnation of an endpoint, by hash of the incarnation.
using end_witnesses = std::map<std::uint32_t, std::uint32_t>;

/// Units by organisation, counted since the start of a process.
using usage_counts = std::map<std::string, double>;

/// A shared prompt prefix that was sent to an endpoint, which caches it.
struct sent_prefix {
    std::uint64_t prefix = 0;   ///< id of the prompt's longest prefix that other requests may share
    std::uint32_t endpoint = 0; ///< hash of the endpoint's id
};

/// An endpoint that has said that it is cold.
struct cold_report {
    std::uint32_t endpoint = 0; ///< hash of the endpoint's id
    duration remaining{0};      ///< until it is warm
};

/// An incarnation of an endpoint that has ended although it may still be published.
struct end_report {
    std::uint32_t incarnation = 0; ///< hash of the endpoint's id and start time
    std::uint32_t witnesses = 0;   ///< hosts that have seen it
};

/// What an endpoint has last said of its rate.
struct rate_report {
    std::uint32_t incarnation = 0;  ///< hash of the endpoint's id and start time
    std::optional<double> max_rate; ///< requests per second over all hosts; nothing: any number
    duration age{0};                ///< since it can have said so at the earliest
};

/// What an endpoint has last said of the rejections that it survives.
struct rejection_report {
    std::uint32_t incarnation = 0;      ///< hash of the endpoint's id and start time
    std::optional<std::uint32_t> limit; ///< in a second, over all hosts; nothing: any number
    duration age{0};                    ///< since it can have said so at the earliest
};

/// How often a host wants the digests of another host.
enum class digest_subscription : std::uint8_t {
    none,
    standby, ///< seldom, as a replacement for the primary
    primary, ///< with every heartbeat
};

/// State of a host as reported by another host.
struct relayed_member {
    std::string ip;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< of the host's last heartbeat
    duration age{0};            ///< since the receipt of that heartbeat
    bool is_ready = false;
    bool is_leaving = false;
    bool is_lost = false; ///< its heartbeats have stopped
    bool has_configuration = false;
    duration configuration_age{0}; ///< at the receipt of that heartbeat
    bool lacks_endpoint_path = false;
};

/// Hosts of one failure domain, as reported by another host.
struct member_group {
    std::string region;
    std::string failure_domain;
    std::vector<relayed_member> members;
};

/// State of another region, from the digest of one of its hosts.
struct region_state {
    std::string region;
    std::string ip; ///< of that host
    std::uint64_t incarnation = 0;
    duration age{0};               ///< since the receipt of the digest
    std::uint32_t known_hosts = 0; ///< of the region, live or not, by that host; 0: unknown
    /// Whether a host of a third region has passed it on. The region can't be reached by that.
    bool is_relayed = false;
    service_loads services;
    usage_counts used;    ///< of all hosts of the region
    usage_counts refused; ///< of all hosts of the region
};

/// State of a region that an aggregator has collected from the heartbeats of its hosts.
struct region_digest {
    std::uint32_t hosts = 0; ///< whose loads are summed, with the aggregator
    endpoint_loads endpoints;
    usage_counts used;    ///< of all hosts of the region, since the aggregator's start
    usage_counts refused; ///< units of refused requests, likewise
    std::vector<sent_prefix> prompts;
    std::vector<restart_report> restarts;
    std::vector<cold_report> cold_endpoints;
    std::vector<end_report> ended_endpoints;
    std::vector<load_report> loads; ///< the newest of endpoints, if not in a previous digest
    /// Begun at hosts of the region; in digests for the region, also at hosts of other regions.
    std::vector<stream_report> streams;
    std::vector<member_group> members; ///< a part of the live hosts
    /// A part of the hosts that are known to the sender, and that it doesn't hear, or the receiver
    /// doesn't. The receiver learns of them, but not that it can reach them.
    std::vector<member_group> introduced;
    duration rotation{0};              ///< time in which the digests name every known host
    std::uint32_t known_hosts = 0;     ///< of the region, live or not, with the sender
    std::vector<region_state> regions; ///< other regions
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
    /// Whether the host has compared its version with those of other hosts (see `version_check`).
    bool is_configuration_checked = false;
    /// The host can open no connection to the endpoints of its region. Requests aren't forwarded to it.
    bool lacks_endpoint_path = false;
    /// Newest change of the configuration or of an evacuation that the host knows.
    source_position operator_change;
    duration interval{0}; ///< maximum time until the next heartbeat to this receiver
    service_loads services;
    endpoint_loads endpoints;
    usage_counts used;
    usage_counts refused;                 ///< units of refused requests
    std::vector<sent_prefix> prompts;     ///< sent since the previous heartbeat
    std::vector<restart_report> restarts; ///< by what this host itself has learned
    /// Whether the host takes all endpoints of its region for warm, and would know otherwise.
    bool all_endpoints_warm = false;
    std::vector<cold_report> cold_endpoints;        ///< that have said so to this host
    std::vector<end_report> ended_endpoints;        ///< by what this host itself has seen
    std::vector<rate_report> rates;                 ///< the newest that this host knows
    std::vector<rejection_report> rejection_limits; ///< the newest that this host knows
    std::vector<load_report> loads;      ///< made to this host since the previous heartbeat
    single_version_claim single_version; ///< by what this host knows
    std::vector<stream_report> streams;  ///< begun at this host
    crash_evidence crashes;
    /// Regions of which the sender's region hears no host. Who hears them introduces their hosts, and
    /// passes on what they use.
    std::vector<std::string> unheard_regions;
    digest_subscription digests = digest_subscription::none;
    std::optional<region_digest> digest;
};

} // namespace hickorykeel::gateway
