#pragma once

#include "gateway/configuration/publication_source.h"
#include "gateway/configuration/published_state.h"
#include "gateway/http/http_client.h"
#include "gateway/membership/member_table.h"
#include "gateway/observability/event_log.h"
#include "gateway/observability/gateway_metrics.h"

#include <chrono>     // milliseconds
#include <cstdint>    // uint16_t
#include <functional> // function
#include <optional>   // optional
#include <string>     // string

#include <asio/steady_timer.hpp> // steady_timer

namespace hickorykeel::gateway {

/// Path at which a host shows others what it knows.
inline constexpr std::string_view relay_path = "/peer/published";

/// What the host at the other end needs to take a reading over.
struct relayed_state {
    std::string text; ///< as the source sent it
    duration age{0};  ///< since it was certainly the newest
};

/// @name wire format between hosts
/// Thread safe.
/// @{
[[nodiscard]] std::string encode(const relayed_state& state);
[[nodiscard]] std::optional<relayed_state> decode_relayed_state(const std::string& text);
/// @}

struct follower_options {
    duration interval = std::chrono::milliseconds{1'000};  ///< between two readings
    duration retry = std::chrono::milliseconds{300};       ///< after a failure
    duration relay_age = std::chrono::milliseconds{1'600}; ///< older than that, a host is asked
    std::uint16_t relay_port = 0;
};

/// Keeps the published state fresh: reads the source, and asks another host where the source
/// doesn't answer.
///
/// Thread safety: none; all calls come from the loop's thread.
class configuration_follower {
public:
    /// What the follower works with; all outlive it.
    struct parts {
        asio::io_context& loop;
        publication_source& source;
        published_state& state;
        const member_table& members;
        http_client& client;
        event_log& log;
        gateway_metrics& metrics;
    };

    configuration_follower(parts with, follower_options options, std::function<void()> on_change);

    void start();

    /// This host's knowledge for another host.
    [[nodiscard]] std::string relay_text() const;

private:
    void read();
    void on_answer(result<published_reading> answer, time_point asked_at);
    void take(published_reading reading, time_point current_at);
    void log_configuration() const;
    void note_source(const error* failure);
    void wait(duration span);
    void ask_host();
    [[nodiscard]] const member* pick_fresher_host(time_point now);
    void on_relayed(const std::string& host, const std::string& text, time_point asked_at);

    parts m_with;
    follower_options m_options;
    std::function<void()> m_on_change;
    asio::steady_timer m_timer;
    std::size_t m_unusable = 0;
    bool m_is_lost = false;
    bool m_is_asking = false;
    std::size_t m_asked = 0;
};

} // namespace hickorykeel::gateway
