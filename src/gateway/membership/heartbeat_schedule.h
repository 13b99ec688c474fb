#pragma once

#include "gateway/membership/heartbeat.h"
#include "gateway/membership/member_table.h"

#include <chrono>   // milliseconds
#include <cstddef>  // size_t
#include <cstdint>  // uint64_t, uint8_t
#include <map>      // map
#include <optional> // optional
#include <string>   // string
#include <utility>  // move
#include <vector>   // vector

namespace hickorykeel::gateway {

/// Content of a heartbeat beside the sender's own state.
enum class heartbeat_content : std::uint8_t {
    own_state, ///< nothing else
    /// A digest for another aggregator, in which the list of hosts is longer, since it is sent
    /// seldom.
    standby_digest,
    /// The same without loads of endpoints, for a host that gets these from another aggregator.
    brief_digest,
    digest,  ///< a digest for a host of the own region
    summary, ///< a digest for a host of another region
};

/// A host to which a heartbeat is sent.
struct heartbeat_recipient {
    std::string ip;
    heartbeat_content content = heartbeat_content::own_state;
    digest_subscription wanted = digest_subscription::none; ///< from the recipient
    std::string region; ///< of the recipient, if `content` is `summary`
};

struct heartbeat_schedule_options {
    duration heartbeat_interval =
        std::chrono::milliseconds{200}; ///< time between calls of `choose()`
    std::size_t max_aggregators = 2;    ///< of each region
    /// Interval, in heartbeats, of the digests for hosts that want them as standby.
    std::uint64_t standby_interval = 5;
    /// Time without a digest after which an aggregator is replaced by another host.
    duration primary_timeout = std::chrono::milliseconds{1'300};
    duration standby_timeout = std::chrono::milliseconds{2'600};
    /// Time after the last heartbeat of a subscriber for which it is sent digests.
    duration subscription_timeout = std::chrono::milliseconds{1'300};
    /// Number of heartbeats after the start that are also sent to all seeds that aren't live.
    std::uint64_t initial_seed_heartbeats = 25;
    /// Interval, in heartbeats, of the later ones.
    std::uint64_t seed_interval = 10;
    /// Hosts that are known but not live to which an aggregator sends each heartbeat, in turn, so
    /// that the parts of a partitioned fleet find each other again. One of each region without a live
    /// host is among them, however many these are, and at least one other host.
    std::size_t lost_hosts_per_heartbeat = 2;
};

/// Chooses the recipients of each heartbeat and what it contains, so that a host's traffic doesn't
/// grow with the fleet: the hosts of a region send their state to a few of them, the aggregators,
/// which send digests to the others and to the aggregators of the other regions.
///
/// Any host sends digests to the hosts that want them from it. Each host chooses the aggregators by
/// itself among the hosts that it believes live, and replaces those from which no digest arrives
/// until they are heard again; no agreement is needed.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class heartbeat_schedule {
public:
    /// Location of this host.
    struct location {
        std::string ip;
        std::string failure_domain;
        std::string region;
    };

    heartbeat_schedule(location own, heartbeat_schedule_options options)
        : m_own{std::move(own)}, m_options{options}
    {
    }

    /// Records a heartbeat of a host of `region` that wants `wanted` of this host's digests.
    void on_heartbeat(const std::string& ip, const std::string& region, digest_subscription wanted,
                      time_point now);

    /// Returns the subscribers of this region whose heartbeats have stopped since the last call.
    [[nodiscard]] std::vector<std::string> take_silent_subscribers(time_point now);

    /// Returns the recipients of the heartbeat that is due now, each once.
    /// @param sequence of the heartbeat
    /// @param is_leaving whether this host is stopping, and isn't to be an aggregator unless all hosts
    /// of its region are stopping
    /// O(hosts · log hosts).
    [[nodiscard]] std::vector<heartbeat_recipient>
    choose(const member_table& members, std::uint64_t sequence, bool is_leaving, time_point now);

    /// Aggregators of this region as of the last `choose()`, this host included if it is one.
    [[nodiscard]] const std::vector<std::string>& aggregators() const noexcept
    {
        return m_aggregators;
    }
    [[nodiscard]] bool is_aggregator() const noexcept { return m_is_aggregator; }
    [[nodiscard]] const heartbeat_schedule_options& options() const noexcept { return m_options; }

private:
    struct subscriber {
        std::string region;
        digest_subscription wanted = digest_subscription::none;
        time_point last_heard{};
    };

    /// An aggregator from which digests are expected.
    struct contact {
        time_point since{};
        std::optional<time_point> replaced_at; ///< empty if it was heard since
        digest_subscription wanted = digest_subscription::none;
    };

    using recipients = std::map<std::string, heartbeat_recipient>; // by ip

    /// Which hosts may be chosen as aggregators.
    enum class candidates : std::uint8_t {
        all,
        not_replaced,
    };

    [[nodiscard]] std::vector<std::string> choose_region(const member_table& members,
                                                         const std::string& region,
                                                         candidates allowed, bool is_leaving,
                                                         time_point now) const;
    [[nodiscard]] bool has_replaced_any() const;
    [[nodiscard]] bool has_replaced(const std::string& ip) const;
    void replace_silent(const member_table& members, time_point now);
    void add_own_aggregators(recipients& chosen, const member_table& members, bool is_leaving,
                             time_point now);
    void add_other_aggregators(recipients& chosen, const member_table& members, time_point now);
    void add_subscribers(recipients& chosen, std::uint64_t sequence, time_point now) const;
    [[nodiscard]] heartbeat_content content_for(const std::string& ip,
                                                const subscriber& held) const;
    void add_seeds(recipients& chosen, const member_table& members, std::uint64_t sequence,
                   time_point now) const;
    [[nodiscard]] static std::string next_host(const region_members& region,
                                               const std::string& last);
    void add_lost_hosts(recipients& chosen, const member_table& members, time_point now);
    void add_former(recipients& chosen);
    [[nodiscard]] std::string primary_of(const member_table& members) const;
    void expect_digests(const std::string& ip, digest_subscription wanted, time_point now);

    location m_own;
    heartbeat_schedule_options m_options;
    std::vector<std::string> m_aggregators;
    bool m_is_aggregator = false;
    std::string m_last_lost_host; ///< ip of the last host that was sent a heartbeat as lost
    /// The last host of each region without a live host that was sent a heartbeat, by region.
    std::map<std::string, std::string> m_last_unheard;
    std::vector<std::string> m_wanted; ///< hosts whose digests were wanted at the last `choose()`
    std::map<std::string, subscriber> m_subscribers; // by ip
    std::map<std::string, contact> m_contacts;       // by ip
};

} // namespace hickorykeel::gateway
