#pragma once

#include "connection/tls_settings.h"
#include "process/actor_config.h"
#include "process/common_admin.h"
#include "process/dispatch_actor.h"
#include "process/dispatch_telemetry.h"
#include "process/error.h"

#include <atomic>   // atomic
#include <memory>   // unique_ptr
#include <optional> // optional
#include <string>   // string
#include <thread>   // thread

namespace hickorykeel {

/// Process that hands requests to the endpoints of its failure domain.
///
/// Thread safety: all methods may be called from any thread.
class dispatch {
public:
    struct options {
        std::string host;
        std::string failure_domain;
        std::string link_listen;     ///< "ip:port" for other processes
        std::string configd_address; ///< link address of this host's hickorykeel-configd
        link_keys keys;
        std::string trace_address; ///< collector of spans, "ip:port"; empty: none are sent
        tls_settings tls;          ///< how endpoints are verified
    };

    /// Binds, and starts to follow the configuration.
    /// @return link_unreachable where the address cannot be bound
    static result<std::unique_ptr<dispatch>> open(const options& chosen);

    dispatch(const dispatch&) = delete;
    dispatch& operator=(const dispatch&) = delete;
    dispatch(dispatch&&) = delete;
    dispatch& operator=(dispatch&&) = delete;
    ~dispatch();

    /// Ends gracefully: announces the leaving, serves what still arrives, and returns once nothing
    /// has been under way for a while. Blocks.
    void drain();

    /// Where other processes connect, "ip:port".
    [[nodiscard]] const std::string& link_address() const noexcept;

    /// Whether a configuration is in force.
    [[nodiscard]] bool is_ready() const;

    /// What administration shows. Waits for the actor.
    [[nodiscard]] serving_status status();

    [[nodiscard]] const metrics& registry() const noexcept { return m_registry; }

private:
    explicit dispatch(const options& chosen);

    std::optional<error> start(const options& chosen);
    void on_message(received_message&& received);
    void poll();
    dispatching::description describe();

    actor_config m_actor_config;
    caf::actor_system m_actors;
    metrics m_registry;
    dispatch_telemetry m_telemetry;
    std::unique_ptr<messenger> m_links;
    std::unique_ptr<configuration_client> m_published;
    caf::actor m_actor;
    std::atomic<bool> m_is_open{false}; // all members are set
    std::atomic<bool> m_is_stopping{false};
    std::thread m_poller;
};

} // namespace hickorykeel
