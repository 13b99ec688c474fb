#pragma once

#include "gateway/configuration/publication_source.h"
#include "gateway/configuration/published_state.h"
#include "gateway/http/http_client.h"
#include "gateway/http/http_server.h"
#include "gateway/membership/member_table.h"
#include "gateway/observability/event_log.h"
#include "gateway/observability/gateway_metrics.h"

#include <chrono>      // milliseconds
#include <cstddef>     // size_t
#include <cstdint>     // uint16_t
#include <functional>  // function
#include <string>      // string
#include <string_view> // string_view

#include <asio/steady_timer.hpp> // steady_timer

namespace hickorykeel::gateway {

/// Path at which a host serves its published state to peer hosts.
inline constexpr std::string_view relay_path = "/peer/published";

/// Response header: milliseconds since the body was confirmed up to date.
inline constexpr std::string_view relay_age_header = "Keel-Configuration-Age-Ms";

struct follower_options {
    duration read_interval = std::chrono::milliseconds{1'000}; ///< after a successful read
    duration retry_interval = std::chrono::milliseconds{300};  ///< after a failed read
    /// Age from which a peer's state counts as stale: such a reader is not queried, and after a
    /// response that old the source is read too. A failed read of the source leads to a query to a
    /// peer host once the state of this host has reached this age.
    duration max_relay_age = std::chrono::milliseconds{1'600};
    duration relay_timeout = std::chrono::milliseconds{800}; ///< of a query to a peer host
    std::size_t max_readers = 3; ///< per region; the other hosts normally query them
    std::uint16_t relay_port = 0;
    std::string ip;             ///< of this host
    std::string failure_domain; ///< of this host
    std::string region;         ///< of this host
};

/// Keeps the published state up to date. Up to `max_readers` hosts of each region, the readers,
/// read the source; the other hosts query a reader. They read the source as well if they have no
/// configuration, if no reader reports a fresh state, or if the query fails or returns a stale
/// state. If a read of the source fails and this host's state has reached the age `max_relay_age`,
/// a live peer host that reports a more recent state is queried.
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

    /// Responds to a peer host with the state as received from the source, and its age.
    void serve_peer(server_exchange& request) const;

private:
    struct relay_query;

    void read();
    void read_source();
    void on_reading(result<published_reading> reading, time_point requested_at);
    void apply_reading(published_reading reading, time_point confirmed_at);
    void log_configuration() const;
    void record_source_result(const error* failure);
    void schedule_read(duration delay);
    void query_fresher_peer();
    [[nodiscard]] const member* select_fresher_peer(time_point now);
    [[nodiscard]] const member* select_reader(time_point now);
    void query_peer(const member& chosen, std::function<void(bool is_fresh)> on_end);
    bool apply_relayed(const relay_query& query);
    void on_relay_failure(const std::string& host, std::string_view reason);

    dependencies m_dependencies;
    follower_options m_options;
    std::function<void()> m_on_change;
    asio::steady_timer m_timer;
    std::size_t m_unusable_entries = 0;
    bool m_is_source_lost = false;
    bool m_is_querying_peer = false;
    bool m_is_reader = true;
    std::size_t m_next_peer = 0;
};

} // namespace hickorykeel::gateway
