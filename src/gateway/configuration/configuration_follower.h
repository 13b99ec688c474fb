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

/// Path at which a host shows others what it knows.
inline constexpr std::string_view relay_path = "/peer/published";

/// Header of the answer: milliseconds since its body was certainly the newest.
inline constexpr std::string_view relay_age_header = "Keel-Configuration-Age-Ms";

struct follower_options {
    duration read_interval = std::chrono::milliseconds{1'000}; ///< between two readings
    duration retry_interval = std::chrono::milliseconds{300};  ///< after a failure
    duration max_relay_age = std::chrono::milliseconds{1'600}; ///< older than that, a host is asked
    duration relay_timeout = std::chrono::milliseconds{800};   ///< of a question to another host
    std::size_t max_readers = 8; ///< hosts of a region that read the source; the others ask them
    std::uint16_t relay_port = 0;
    std::string ip;     ///< of this host
    std::string region; ///< of this host
};

/// Keeps the published state fresh. A few hosts of each region read the source; the others ask
/// them, and read the source where that fails. Where the source doesn't answer, any host is asked
/// that knows newer.
///
/// Thread safety: none; all calls come from the loop's thread.
class configuration_follower {
public:
    /// What the follower works with; all outlive it.
    struct dependencies {
        asio::io_context& loop;
        publication_source& source;
        published_state& state;
        const member_table& members;
        http_client& client;
        event_log& log;
        gateway_metrics& metrics;
    };

    configuration_follower(dependencies with, follower_options options,
                           std::function<void()> on_change);

    void start();

    /// Tells another host what this one knows, as the source sent it, and how old that is.
    void serve_peer(server_exchange& question) const;

private:
    struct relay_call;

    void read();
    void read_source();
    void on_answer(result<published_reading> answer, time_point asked_at);
    void take(published_reading reading, time_point current_at);
    void log_configuration() const;
    void note_source(const error* failure);
    void wait(duration span);
    void ask_fresher_host();
    [[nodiscard]] const member* pick_fresher_host(time_point now);
    [[nodiscard]] const member* pick_reader(time_point now);
    void ask(const member& chosen, std::function<void(bool is_fresh)> on_end);
    bool on_relayed(const relay_call& answered);
    void on_relay_failure(const std::string& host, std::string_view reason);

    dependencies m_dependencies;
    follower_options m_options;
    std::function<void()> m_on_change;
    asio::steady_timer m_timer;
    std::size_t m_unusable = 0;
    bool m_is_lost = false;
    bool m_is_asking = false;
    bool m_is_reader = true;
    std::size_t m_asked = 0;
};

} // namespace hickorykeel::gateway
