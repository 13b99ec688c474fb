#pragma once

#include "gateway/configuration/configuration_follower.h"
#include "gateway/configuration/publication_source.h"
#include "gateway/http/http_server.h"
#include "gateway/limits/cold_owner.h"
#include "gateway/limits/memory_budget.h"
#include "gateway/membership/directory_choice.h"
#include "gateway/membership/fleet_membership.h"
#include "gateway/membership/gossip_socket.h"
#include "gateway/routing/recent_timeouts.h"
#include "gateway/routing/version_history.h"
#include "gateway/serving/endpoint_checker.h"
#include "gateway/serving/health_prober.h"
#include "gateway/serving/path_checker.h"
#include "gateway/serving/protocol_adapter.h"
#include "gateway/serving/serving_context.h"
#include "gateway/serving/waiting_queue.h"
#include "gateway/settings_watch.h"
#include "process/error.h"

#include <array>       // array
#include <csignal>     // SIGHUP, SIGINT, SIGTERM
#include <functional>  // function
#include <map>         // map
#include <memory>      // shared_ptr, unique_ptr
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <asio/io_context.hpp>   // io_context
#include <asio/signal_set.hpp>   // signal_set
#include <asio/steady_timer.hpp> // steady_timer

namespace hickorykeel::gateway {

/// Components from which a gateway is built, beside its settings.
struct gateway_parts {
    protocol_adapter adapter;
    /// Creates the source of the published configuration, which uses the gateway's HTTP client.
    std::function<std::unique_ptr<publication_source>(asio::io_context&, http_client&,
                                                      const gateway_settings&)>
        make_source;
    /// Reloads the settings; called on SIGHUP, on a stop, and when the file has changed.
    std::function<result<gateway_settings>()> reload;
    /// Returns the content of the settings file, or nothing if it can't be read. Null: the file isn't
    /// watched.
    std::function<std::optional<std::string>()> read_settings_file = nullptr;
    /// The same at a time before the settings were loaded.
    std::optional<std::string> loaded_settings_file = {};
};

/// Signals that a gateway handles, from its construction on.
inline constexpr std::array handled_signals{SIGTERM, SIGINT, SIGHUP};

/// The gateway process: listeners, membership, published configuration, and requests.
///
/// Thread safety: none; one thread runs the event loop.
class gateway {
public:
    gateway(gateway_settings settings, gateway_parts parts);
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    gateway(gateway&&) = delete;
    gateway& operator=(gateway&&) = delete;
    ~gateway();

    /// Opens all listeners and the gossip socket. An address that is in use or doesn't exist yet is
    /// tried again until it is free, while the others serve. Returns the first other error.
    result<bool> open();

    /// Serves requests until SIGTERM or SIGINT, drains, and returns.
    void run();

private:
    // listeners
    [[nodiscard]] result<bool> open_missing();
    void schedule_open(const error& failure);
    void serve_caller(const std::shared_ptr<server_exchange>& request);
    void serve_peer(const std::shared_ptr<server_exchange>& request);
    void serve_readiness(const std::shared_ptr<server_exchange>& request);
    void serve_directory(const std::shared_ptr<server_exchange>& request);
    void serve_metrics(const std::shared_ptr<server_exchange>& request);
    [[nodiscard]] directory_choice hosts_for(const directory_query& query) const;
    void record_directory_choice(const directory_query& query, directory_scope scope);
    [[nodiscard]] bool is_ready() const;
    void set_client_limits();
    bool free_memory();
    void trim_heap(time_point now);
    void close_unread(time_point now);

    // membership
    void send_heartbeats();
    void log_aggregators();
    void update_quarantine(time_point now);
    [[nodiscard]] service_load region_capacity(const service& of, time_point now) const;
    [[nodiscard]] heartbeat own_state(time_point now);
    void on_datagram(std::string_view datagram, time_point arrived_after);
    void record_restart_news(const received_news& news, time_point now);
    void record_version_claim(const received_news& news, time_point now);
    void tell_urgent_news();
    void update_members(time_point now);
    void update_peer_loads(time_point now);
    void begin_start(time_point now);
    [[nodiscard]] double cold_rate_for(const std::string& endpoint, double rate) const;
    [[nodiscard]] double rate_share_of(const std::string& endpoint, double rate) const;
    [[nodiscard]] std::uint32_t room_share_of(const std::string& endpoint,
                                              std::uint32_t places) const;

    // configuration
    void on_published();

    // lifecycle
    void run_loop();
    void run_heartbeat();
    void place_waiting();
    void wait_for_signals();
    void reload(std::string_view cause);
    void watch_settings(duration delay);
    void check_settings();
    void log_replaced(const gateway_settings& settings);
    void begin_shutdown();
    void stop_admission();
    void check_shutdown();

    gateway_settings m_settings;
    gateway_parts m_parts;
    std::shared_ptr<memory_budget> m_memory;
    asio::io_context m_loop{1};
    event_log m_log;
    gateway_metrics m_metrics;
    random_source m_random;
    published_state m_state;
    version_history m_version_history;
    recent_timeouts m_timeouts;
    fleet_membership m_fleet;
    cold_side m_cold_side;
    rate_limiter m_usage;
    endpoint_pool m_pool;
    prompt_quarantine m_quarantine;
    stream_origins m_origins{{}};
    http_client m_client;
    std::unique_ptr<publication_source> m_source;
    configuration_follower m_follower;
    waiting_queue m_waiting;
    serving_context m_context;
    health_prober m_prober;
    endpoint_checker m_checker;
    path_checker m_path_checker;
    http_server m_callers;
    http_server m_peers;
    http_server m_readiness;
    http_server m_directory;
    http_server m_metrics_server;
    const std::array<http_server*, 5> m_servers{&m_callers, &m_peers, &m_readiness, &m_directory,
                                                &m_metrics_server};
    gossip_socket m_gossip;
    asio::signal_set m_signals;
    asio::steady_timer m_open_timer;
    asio::steady_timer m_heartbeat_timer;
    asio::steady_timer m_placement_timer;
    asio::steady_timer m_news_timer;
    asio::steady_timer m_stop_timer;
    asio::steady_timer m_settings_timer;
    settings_watch m_settings_watch;
    time_point m_started;
    time_point m_heartbeat_at{}; ///< the last time that heartbeats were sent
    /// The time before that. Datagrams that are read now arrived after it, also if the process stood
    /// still in between.
    time_point m_heard_since{};
    std::vector<std::string> m_aggregators; ///< of this region, as last logged
    /// Scope of the hosts last named to callers of a region, by region.
    std::map<std::string, directory_scope> m_named_scopes;
    bool m_has_endpoints = false; ///< this region's entries have been read since the start
    bool m_is_placement_scheduled = false;
    bool m_was_memory_scarce = false;
    time_point m_next_trim{};
    bool m_tells_news = false; ///< soon, ahead of the next heartbeat
    bool m_is_stopping = false;
    bool m_has_ended_requests = false; ///< those open at the end of the shutdown
    time_point m_shutdown_started{};
};

} // namespace hickorykeel::gateway
