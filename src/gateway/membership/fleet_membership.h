#pragma once

#include "gateway/limits/rate_limiter.h"
#include "gateway/limits/usage_totals.h"
#include "gateway/membership/gossip_codec.h"
#include "gateway/membership/heartbeat.h"
#include "gateway/membership/heartbeat_schedule.h"
#include "gateway/membership/member_table.h"
#include "process/clock.h"

#include <chrono>        // milliseconds
#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <deque>         // deque
#include <map>           // map
#include <optional>      // optional
#include <set>           // set
#include <string>        // string
#include <string_view>   // string_view
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace hickorykeel::gateway {

/// Identity of this process.
struct host_identity {
    std::string host;
    std::string ip;
    std::string failure_domain;
    std::string region;
    std::uint64_t incarnation = 0;
};

/// Hosts among which what the fleet may use is divided.
struct fleet_size {
    std::size_t accounted = 1; ///< whose usage becomes known here, with this host
    std::size_t expected = 1;  ///< that may be running, with this host
};

struct fleet_membership_options {
    member_table_options members;
    std::set<std::string> regions; ///< of the fleet, by the settings
    /// Hosts of each region that a host assumes which has heard no other since its start.
    std::size_t assumed_hosts = 32;
    /// Time after the start in which a region of which no host is known is assumed to have hosts. It
    /// is longer than regions are cut off from each other.
    duration assumption_time = std::chrono::hours{2};
    heartbeat_schedule_options schedule;
    /// Number of digests in which the list of known hosts is sent once.
    std::size_t digest_rotation = 10;
    /// Number of digests that name a host whose state has changed.
    int change_repeats = 3;
    std::size_t max_changes = 40; ///< hosts named for a change in one digest
    /// Number of hosts of the receiver's region that each digest names, so that a host that joins
    /// learns of its aggregators at once.
    std::size_t introduced_hosts = 4;
    /// Age up to which the state of a region is passed on from the same host as before.
    duration recent_region_age = std::chrono::milliseconds{1'000};
    /// Age from which the state of a region isn't passed on.
    duration max_region_age = std::chrono::milliseconds{2'000};
    std::size_t max_prompts = 512; ///< prefixes passed on in one digest
    /// Load statements passed on in one digest. At 15 bytes each and five digests a second, 48 of
    /// them are 3.7 KB a second.
    std::size_t max_loads = 48;
    /// Time that a datagram may have waited unread for its claim of single versions to be used.
    duration max_claim_wait = std::chrono::milliseconds{800};
    /// Streams passed on in one digest or summary, from each side: hosts of the region, and other
    /// regions. At 10 bytes each, and with those that the sender has begun, they leave half of a
    /// datagram to other reports.
    std::size_t max_streams = 1'024;
};

/// A heartbeat to be sent.
struct outgoing_heartbeat {
    std::string ip;
    std::string datagram;
};

/// What a datagram brought, beside changes to the member table.
struct received_news {
    bool is_readable = true;
    std::string sender;                             ///< its IP
    std::string new_host;                           ///< name of the sender if it became live
    std::string region;                             ///< of the sender
    std::vector<sent_prefix> prompts;               ///< sent by hosts of this region
    std::vector<restart_report> restarts;           ///< of endpoints of this region
    bool all_endpoints_warm = false;                ///< of this region, by a host of it
    std::vector<cold_report> cold_endpoints;        ///< of this region
    std::vector<rate_report> rates;                 ///< of endpoints of this region
    std::vector<rejection_report> rejection_limits; ///< of endpoints of this region
    std::vector<load_report> loads;                 ///< of endpoints of this region
    bool has_peer_loads = false;        ///< a digest has replaced loads of `peer_loads()`
    std::vector<stream_report> streams; ///< begun at other hosts, of any region
    std::vector<usage_report> usage;
    crash_evidence crashes;
    std::vector<std::string> regions; ///< other regions whose capacity was reported
    /// By the sender, of any region. None if the datagram may have waited for long.
    single_version_claim single_version;
};

/// The fleet as one host knows it, and the heartbeats that it sends.
///
/// The hosts of a region send their state to the region's aggregators (see `heartbeat_schedule`).
/// These sum the load and usage of the region's hosts and send digests to the hosts of the region
/// and to the aggregators of the other regions. The list of hosts is sent in parts; a change is sent
/// with the next digests. Nothing is agreed on: what an aggregator holds can be collected again.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class fleet_membership {
public:
    fleet_membership(host_identity own, const std::vector<std::string>& seed_ips,
                     fleet_membership_options options);

    /// @name heartbeats
    /// @{

    /// Returns the heartbeats that are due now; to be called at the heartbeat interval.
    /// @param state state of this host; the identity, the sequence and the digest are filled in
    [[nodiscard]] std::vector<outgoing_heartbeat> send(heartbeat state, time_point now);

    /// Records a datagram of another host.
    /// @param arrived_after a time before its arrival; it may have waited since then
    received_news on_datagram(std::string_view datagram, time_point arrived_after, time_point now);
    received_news on_datagram(std::string_view datagram, time_point now)
    {
        return on_datagram(datagram, now, now);
    }

    /// Removes hosts that are silent for long.
    /// @return names of the hosts that are no longer live, each once until its next heartbeat
    std::vector<std::string> expire(time_point now);
    /// @}

    /// @name state
    /// @{
    [[nodiscard]] const member_table& members() const noexcept { return m_members; }
    [[nodiscard]] member_table& members() noexcept { return m_members; }
    [[nodiscard]] const heartbeat_schedule& schedule() const noexcept { return m_schedule; }

    /// Returns how many hosts there may be, and of how many the usage is known here.
    ///
    /// Who isn't heard isn't taken for gone: hosts that have fallen silent count while they are in the
    /// table, and a region of the settings of which no host is known as if it were as large as the
    /// largest known one. A host that has heard no other since its start can't tell how many there
    /// are, and assumes many. So the parts of a fleet that don't know each other together use no more
    /// than all of it.
    /// O(hosts).
    [[nodiscard]] fleet_size size(time_point now) const;

    /// Returns the load that the other hosts of this region have placed on its endpoints, as summed
    /// by the aggregator, this host included, that hears the most hosts.
    [[nodiscard]] endpoint_loads peer_loads(time_point now) const;

    /// Returns the mean time at which the loads of `peer_loads()` were current.
    [[nodiscard]] time_point peer_loads_time(time_point now) const;

    /// Returns the number of hosts, with this one, whose loads are in these sums.
    [[nodiscard]] std::size_t summed_hosts(time_point now) const { return best_sums(now).hosts; }

    /// Returns, by hash of the incarnation, how many hosts of this region have seen that an endpoint
    /// has ended, as counted by the same aggregator.
    [[nodiscard]] end_witnesses ended_endpoints(time_point now) const;
    /// @}

private:
    /// Sums of an aggregator's digest.
    struct summed_loads {
        std::uint32_t hosts = 0;
        endpoint_loads endpoints;
        end_witnesses ended;
        time_point received{};
    };

    struct held_region {
        region_state state;
        time_point received{};
    };

    /// The newest load statement of an endpoint to a host of this region.
    struct held_load {
        load_statement load;
        time_point as_of{};
        time_point last_sent_at{}; ///< time of the last digest with a statement of the endpoint
        bool is_new = true;        ///< not yet in a digest
    };

    using held_streams = std::map<std::uint64_t, stream_report>; // by hash of the attempt id

    struct pending_change {
        std::string ip;
        int repeats = 0; ///< digests that have yet to name the host
    };

    void note_change(const std::string& ip);
    void read_own_region(heartbeat& received, bool has_usage, received_news& news,
                         time_point arrived_after, time_point now);
    void hold_load(const load_report& report, time_point as_of);
    [[nodiscard]] std::vector<std::uint32_t> loads_to_send() const;
    [[nodiscard]] std::vector<load_report> collect_loads(time_point now) const;
    void mark_loads_sent(time_point now);
    void hold_streams(const std::vector<stream_report>& reports, held_streams& held) const;
    void read_streams(const heartbeat& received, received_news& news);
    void read_digest(const heartbeat& received, received_news& news, time_point now);
    void read_introductions(const region_digest& digest, time_point now);
    void read_other_region(region_state state, received_news& news, time_point now);
    [[nodiscard]] bool knows_usage(const std::string& region, time_point now) const;
    [[nodiscard]] std::uint32_t stated_hosts(const std::string& region, time_point now) const;
    [[nodiscard]] std::size_t expected_hosts(time_point now) const;

    [[nodiscard]] summed_loads own_sums(time_point now) const;
    [[nodiscard]] summed_loads best_sums(time_point now) const;
    [[nodiscard]] region_digest collect_digest(time_point now) const;
    [[nodiscard]] std::vector<cold_report> collect_cold_endpoints(time_point now) const;
    [[nodiscard]] std::vector<restart_report> collect_restarts(time_point now) const;
    [[nodiscard]] std::string make_datagram(const heartbeat_recipient& recipient,
                                            const std::vector<std::string>& unheard,
                                            const region_digest& collected, time_point now) const;
    [[nodiscard]] bool is_in_list(heartbeat_content content, const member& host) const;
    [[nodiscard]] std::size_t part_of_list(heartbeat_content content) const;
    [[nodiscard]] std::vector<const member*> next_part(heartbeat_content content) const;
    [[nodiscard]] std::vector<const member*>
    hosts_to_name(heartbeat_content content, const std::string& region, time_point now) const;
    [[nodiscard]] std::vector<region_state> regions_to_pass_on(time_point now) const;
    [[nodiscard]] std::vector<region_state>
    usage_to_pass_on(const std::vector<std::string>& regions, time_point now) const;
    [[nodiscard]] std::vector<std::string> unheard_regions(time_point now) const;
    [[nodiscard]] std::vector<std::string> regions_unheard_by(const std::string& ip) const;
    [[nodiscard]] std::vector<const member*>
    hosts_to_introduce(heartbeat_content content, const std::vector<std::string>& unheard,
                       time_point now) const;
    void end_round(const std::vector<heartbeat_recipient>& recipients, time_point now);
    void advance(heartbeat_content content);

    host_identity m_own;
    fleet_membership_options m_options;
    member_table m_members;
    heartbeat_schedule m_schedule;
    usage_totals m_usage; ///< of the other hosts of this region
    std::uint64_t m_sequence = 0;
    std::optional<time_point> m_started; ///< time of the first heartbeat
    bool m_has_heard = false;            ///< any other host since the start

    heartbeat m_last_sent;                      ///< state of this host
    std::map<std::string, summed_loads> m_sums; ///< by ip of the aggregator
    std::map<std::string, std::map<std::string, held_region>> m_regions; ///< by region, by ip
    std::deque<pending_change> m_changes;
    std::vector<sent_prefix> m_prompts; ///< received since the last digest
    /// Streams begun at other hosts of this region, received since the last round of heartbeats.
    held_streams m_region_streams;
    /// The same of other regions; passed on within this region only.
    held_streams m_other_streams;
    /// Statements of the last seconds, by hash of the incarnation.
    std::unordered_map<std::uint32_t, held_load> m_loads;
    /// First host of the next part of the list of hosts, by ip, for each content.
    std::map<heartbeat_content, std::string> m_positions;
};

} // namespace hickorykeel::gateway
