#pragma once

#include "gateway/membership/member_table.h"
#include "process/clock.h"

#include <chrono>     // milliseconds
#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

namespace hickorykeel::gateway {

struct relay_choice_options {
    std::size_t max_readers = 3; ///< per region; the other hosts normally query them
    /// Age from which a state counts as stale: a reader with such a state is not queried.
    duration max_relay_age = std::chrono::milliseconds{1'600};
    /// A peer host is queried for a more recent state if its state is younger by at least this.
    duration min_age_gain = std::chrono::milliseconds{400};
    /// Interval of the reads of the source by a host that has no configuration and isn't a reader:
    /// after a restart of the fleet, the readers alone load the source.
    duration unconfigured_read_interval = std::chrono::milliseconds{3'000};
    /// Time after which such a host gives up a read of the source that is still under way.
    duration max_unconfigured_read = std::chrono::milliseconds{600};
    /// Time after the start for which such a host does not query hosts of other regions: all hosts
    /// of a region would fetch the same items from far away.
    duration cross_region_delay = std::chrono::milliseconds{1'500};
    /// Time for which this host may hold a lower version of the configuration than another one
    /// before it queries that host. Longer than a change takes to reach all readers.
    duration max_version_lag = std::chrono::milliseconds{2'000};
    /// Time after the start in which it queries that host at once.
    duration starting_time = std::chrono::milliseconds{5'000};
    std::string ip;             ///< of this host
    std::string failure_domain; ///< of this host
    std::string region;         ///< of this host
};

/// State of the host that chooses.
struct relay_choice_state {
    bool has_configuration = false;
    duration age{0};             ///< of the published state, since it was confirmed up to date
    time_point source_read_at{}; ///< start of the last read of the source
    std::uint64_t version = 0;   ///< of the configuration; 0: none
    /// Up to which the operator's changes are known.
    source_position operator_changes = {};
};

/// Chooses from which host to get the published state, or whether to read its source.
///
/// The readers of a region are chosen by rendezvous hashing among its live hosts, so hosts with the
/// same membership agree on them.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class relay_choice {
public:
    relay_choice(relay_choice_options options, const member_table& members, time_point started);

    /// Chooses the readers anew. To be called before the other functions. O(hosts · max_readers).
    /// @return whether this host has become a reader or is one no longer
    bool update(time_point now);

    /// Whether this host reads the source itself.
    [[nodiscard]] bool is_reader() const noexcept { return m_is_reader; }

    /// Number of the region's readers.
    [[nodiscard]] std::size_t reader_count() const noexcept { return m_readers.size(); }

    /// Returns the reader to query, or null if this host has to read the source.
    [[nodiscard]] const member* select_reader(const relay_choice_state& own, time_point now) const;

    /// Returns a live host with a more recent state than this one, of the own region if there is
    /// one, or null. Successive calls return different hosts.
    [[nodiscard]] const member* select_fresher_peer(const relay_choice_state& own, time_point now);

    /// Returns a live host that holds a higher version of the configuration than this one, and has
    /// done so for too long, or null. A source that was restored from an older copy doesn't show
    /// that version to a host that starts then. Successive calls return different hosts.
    [[nodiscard]] const member* select_newer_peer(const relay_choice_state& own, time_point now);

    /// Returns a live host that knows a newer change of the operator than this one, or null. It is
    /// of the own region unless the state of this host is stale. Successive calls return different
    /// hosts.
    [[nodiscard]] const member* select_informed_peer(const relay_choice_state& own, time_point now);

    /// Whether this host leaves the source to the readers for now.
    [[nodiscard]] bool waits_for_peers(const relay_choice_state& own, time_point now) const;

    /// Whether a read of all items that is under way is to be given up.
    [[nodiscard]] bool gives_up_read(const relay_choice_state& own, time_point now) const;

    [[nodiscard]] const relay_choice_options& options() const noexcept { return m_options; }

private:
    struct found_peer {
        const member* host = nullptr; ///< null: none
        bool is_in_region = false;
    };

    [[nodiscard]] found_peer find_peer(const std::function<bool(const member&)>& is_wanted,
                                       time_point now);
    [[nodiscard]] bool may_query_other_regions(const relay_choice_state& own, time_point now) const;
    [[nodiscard]] bool lags_too_long(bool has_newer_peer, time_point now);

    relay_choice_options m_options;
    const member_table& m_members;
    time_point m_started;
    std::vector<std::string> m_readers; ///< ips
    bool m_is_reader = true;
    std::size_t m_next_peer;
    std::optional<time_point> m_lags_since; ///< set while another host holds a higher version
};

} // namespace hickorykeel::gateway
