#pragma once

#include "connection/caller_server.h"
#include "connection/tls_settings.h"
#include "process/actor_config.h"
#include "process/caller_api.h"
#include "process/entry_context.h"
#include "process/error.h"
#include "process/limits/limiter.h"

#include <atomic>   // atomic
#include <cstddef>  // size_t
#include <memory>   // unique_ptr
#include <optional> // optional
#include <string>   // string
#include <thread>   // thread
#include <vector>   // vector

#include <caf/all.hpp>

namespace hickorykeel {

/// Process that callers connect to: authenticates, admits, routes, and passes answers back.
///
/// Thread safety: all methods may be called from any thread; `serve` once.
class entry {
public:
    struct options {
        std::string host;
        std::string failure_domain;
        std::string http_listen;      ///< "ip:port" for callers
        std::string link_listen;      ///< "ip:port" for other processes
        std::string configd_address;  ///< link address of this host's hickorykeel-configd
        std::string dispatch_address; ///< link address of this host's hickorykeel-dispatch
        link_keys keys;
        std::size_t http_threads = 256; ///< connections served at once
        std::size_t maximum_body_bytes = 4U << 20U;
        duration ticket_life = std::chrono::minutes{5};
        std::string trace_address; ///< collector of spans, "ip:port"; empty: none are sent
        tls_settings tls;
    };

    /// Binds, and starts to follow the configuration and the dispatch processes.
    /// @return link_unreachable where an address cannot be bound
    static result<std::unique_ptr<entry>> open(const options& chosen);

    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;
    entry(entry&&) = delete;
    entry& operator=(entry&&) = delete;
    ~entry();

    /// Serves callers until `stop` has let the last one go. Blocks.
    void serve();

    /// Starts a graceful end: announces the leaving, goes on serving what still arrives, and
    /// closes once nothing has arrived for a while. Returns at once.
    void stop();

    /// Where callers connect, "ip:port".
    [[nodiscard]] const std::string& http_address() const noexcept { return m_http_address; }

    [[nodiscard]] entry_context& context() noexcept { return m_context; }

    /// This host's view of all accounts. Waits for the limiter.
    [[nodiscard]] std::vector<account_status> limits();

private:
    void register_gauges();
    explicit entry(const options& chosen);

    std::optional<error> start(const options& chosen);
    std::optional<error> bind_http(const options& chosen);
    void on_message(received_message&& received);
    void on_configuration(const configuration_ptr& in_force);
    void on_hosts(const host_list_ptr& listed);
    void say_goodbye();
    void poll_peers();
    void tell_leaving();
    void drain();

    actor_config m_actor_config;
    caf::actor_system m_actors;
    entry_context m_context;
    caller_api m_api{m_context};
    std::unique_ptr<httplib::Server> m_server;
    std::string m_http_address;
    std::atomic<bool> m_is_open{false}; // all members are set
    std::atomic<bool> m_is_stopping{false};
    std::thread m_poller;
    std::thread m_drainer;
};

} // namespace hickorykeel
