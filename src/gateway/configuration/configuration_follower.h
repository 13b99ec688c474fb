#pragma once

#include "gateway/configuration/publication_source.h"
#include "gateway/configuration/published_items.h"
#include "gateway/configuration/published_state.h"
#include "gateway/configuration/relay_choice.h"
#include "gateway/configuration/version_check.h"
#include "gateway/http/http_client.h"
#include "gateway/http/http_server.h"
#include "gateway/membership/member_table.h"
#include "gateway/observability/event_log.h"
#include "gateway/observability/gateway_metrics.h"

#include <chrono>      // milliseconds
#include <cstddef>     // size_t
#include <cstdint>     // uint16_t, uint64_t
#include <functional>  // function
#include <string>      // string
#include <string_view> // string_view

#include <asio/steady_timer.hpp> // steady_timer

namespace hickorykeel::gateway {

/// Path at which a host serves its published state to peer hosts.
inline constexpr std::string_view relay_path = "/peer/published";

/// Request headers: position that the querying host holds; without them, it holds none.
inline constexpr std::string_view relay_revision_header = "Keel-Configuration-Revision";
inline constexpr std::string_view relay_era_header = "Keel-Configuration-Era";

/// Response header: milliseconds since the state was confirmed up to date.
inline constexpr std::string_view relay_age_header = "Keel-Configuration-Age-Ms";

struct follower_options {
    duration read_interval = std::chrono::milliseconds{1'000}; ///< after a successful read
    duration retry_interval = std::chrono::milliseconds{300};  ///< after a failed read
    duration relay_timeout = std::chrono::milliseconds{800};   ///< of a query to a peer host
    /// Of a query to a peer host for all items, while this host holds none.
    duration initial_relay_timeout = std::chrono::milliseconds{3'000};
    duration max_watch = std::chrono::milliseconds{5'000}; ///< wait for the operator's changes
    /// A watch that ends sooner without changes is not repeated before the next read.
    duration min_watch = std::chrono::milliseconds{500};
    /// Interval at which a host without a fresh state looks for a peer host that has one.
    duration peer_check_interval = std::chrono::milliseconds{200};
    /// Interval at which the same change of the operator is queried again.
    duration change_query_interval = std::chrono::milliseconds{1'000};
    /// Interval of the queries for a higher version of the configuration, which are for all items.
    duration version_query_interval = std::chrono::milliseconds{1'000};
    std::uint16_t relay_port = 0;
    relay_choice_options choice;
};

/// Keeps the published state up to date. Some hosts of each region, the readers, read the source;
/// the other hosts query a reader (see `relay_choice`). They read the source as well if no reader
/// reports a fresh state, or if the query fails or returns a stale state. While the state of this
/// host is missing or stale, a live peer host that reports a more recent one is queried too, and
/// one that reports a higher version of the configuration for longer than a change takes to spread.
/// Hosts tell in their heartbeats which change of the operator they know, so that the others query
/// it at once.
///
/// A host that starts knows no others and reads the source at once. If that takes long, and it
/// hears meanwhile that others are the readers, it leaves the source to them and waits for a peer
/// host with a configuration.
///
/// Between its reads, a reader waits for changes of the configuration and of evacuations. Those of
/// the endpoints' entries are many, and are only read at intervals.
///
/// Both reads and queries ask for the changes since the position that is held, so that an unchanged
/// state costs the same at any number of endpoints.
///
/// Thread safety: none; all calls come from the loop's thread.
class configuration_follower {
public:
    /// Objects that the follower uses; each outlives the follower.
    struct dependencies {
        asio::io_context& loop;
        publication_source& source;
        published_state& state;
        const member_table& members;
        http_client& client;
        event_log& log;
        gateway_metrics& metrics;
    };

    configuration_follower(dependencies objects, follower_options options,
                           std::function<void()> on_change);

    /// Starts the first read; further reads follow periodically.
    void start();

    /// Trusts the held configuration, if it has yet to be checked, once other hosts bear it out. To be
    /// called when a heartbeat was received.
    void check_version(time_point now);

    /// Newest change of the configuration or of an evacuation that this host knows.
    [[nodiscard]] const source_position& operator_change() const noexcept
    {
        return m_items.operator_change();
    }

    /// Responds to a peer host with the changes since its position and the age of the state, or
    /// with 503 while no state is held.
    void serve_peer(server_exchange& request);

private:
    struct relay_query;

    void read();
    void read_source();
    void on_reading(result<published_changes> changes, time_point requested_at);
    void renew_watch();
    void watch_source();
    void on_watched(result<watched_changes> changes, time_point started_at);
    void apply_watched(watched_changes changes);
    [[nodiscard]] result<merge_outcome> apply_changes(const published_changes& changes,
                                                      time_point confirmed_at);
    [[nodiscard]] state_change update_state(merge_outcome outcome, time_point confirmed_at);
    void log_configuration() const;
    void log_whole_state(const published_changes& changes, std::string_view peer,
                         time_point requested_at) const;
    void log_restored_source(const source_position& position);
    void log_endpoints(const state_change& change, std::size_t former_count) const;
    void record_source_result(const error* failure);
    void schedule_read(duration delay);
    void check_peers();
    void query_fresher_peer();
    void query_newer_peer();
    void query_informed_peer();
    void update_readers(time_point now);
    [[nodiscard]] relay_choice_state choice_state(time_point now) const;
    [[nodiscard]] const std::string& relayed_changes(const source_position& since);
    void query_peer(const member& chosen, const source_position& since,
                    std::function<void(bool is_fresh)> on_end);
    bool apply_relayed(relay_query& query);
    void on_relay_failure(const std::string& host, std::string_view reason);

    dependencies m_dependencies;
    follower_options m_options;
    std::function<void()> m_on_change;
    published_items m_items;
    relay_choice m_choice;
    version_check m_version_check;
    asio::steady_timer m_timer;
    asio::steady_timer m_peer_timer;
    /// Last message to a peer host, which others are likely to ask for too.
    struct relayed_message {
        source_position since;
        source_position position; ///< none: no message yet
        std::string bytes;
    };
    relayed_message m_relayed;
    std::size_t m_unusable_entries = 0;
    bool m_is_reading_source = false;
    time_point m_source_read_at{}; ///< start of the last read of the source
    time_point m_version_queried_at{};
    source_position m_change_queried; ///< newest change of the operator that a peer was queried for
    time_point m_change_queried_at{};
    bool m_is_watching_source = false;
    bool m_has_failed_since_watch = false; ///< a read, since the last watch began
    source_position m_watched_up_to;       ///< by the last watch
    bool m_is_source_lost = false;
    bool m_is_querying_peer = false;
};

} // namespace hickorykeel::gateway
