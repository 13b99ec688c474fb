#pragma once

#include "connection/messenger.h"
#include "process/actor_config.h"
#include "process/configd_actor.h"
#include "process/configuration_watch.h"
#include "process/error.h"

#include <cstdint>  // uint64_t
#include <memory>   // unique_ptr, shared_ptr
#include <mutex>    // mutex
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <caf/all.hpp>

namespace hickorykeel {

/// Process that reads what the platform publishes, checks it, and relays it to the processes of its
/// host and to its peers on other hosts. One actor owns the state; the link and the threads of the
/// platform's watch send it messages.
///
/// Thread safety: all methods may be called from any thread.
class configd {
public:
    struct options {
        std::string host;
        std::string failure_domain;
        std::string link_listen; ///< "ip:port" for other processes
        std::string platform_address;
        std::vector<std::string> seeds; ///< link addresses of peers, used until hosts are known
        link_keys keys;
    };

    /// Binds, and starts to ask peers and the platform.
    /// @return link_unreachable where the address cannot be bound
    static result<std::unique_ptr<configd>> open(const options& chosen);

    configd(const configd&) = delete;
    configd& operator=(const configd&) = delete;
    configd(configd&&) = delete;
    configd& operator=(configd&&) = delete;
    ~configd();

    /// Where other processes connect, "ip:port".
    [[nodiscard]] const std::string& link_address() const noexcept;

    /// What is held, in force and refused. At most a tick of the actor (100 ms) old.
    [[nodiscard]] configuration_status status() const;

    /// Reads of the platform so far, for metrics.
    [[nodiscard]] std::uint64_t platform_reads() const noexcept;

private:
    struct shared_state;

    explicit configd(options chosen);

    std::optional<error> start();
    void watch_platform();

    const options m_options;
    actor_config m_actor_config;
    caf::actor_system m_actors;
    std::shared_ptr<shared_state> m_shared;
    std::unique_ptr<messenger> m_links;
    caf::actor m_actor;
    std::unique_ptr<configuration_watch> m_watch;
};

} // namespace hickorykeel
