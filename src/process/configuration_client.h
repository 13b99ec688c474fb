#pragma once

#include "connection/messenger.h"
#include "version/configuration.h"
#include "version/replica.h"

#include <functional> // function
#include <memory>     // shared_ptr
#include <mutex>      // mutex
#include <string>     // string

namespace hickorykeel {

/// Follows the configuration and the host list that this host's hickorykeel-configd holds.
///
/// Thread safety: all methods may be called from any thread. The handlers are called on the thread
/// that delivers the update, and must not block.
class configuration_client {
public:
    struct handlers {
        std::function<void(configuration_ptr)> on_configuration;
        std::function<void(host_list_ptr)> on_hosts;
    };

    /// @param address  link address of hickorykeel-configd
    configuration_client(messenger& links, std::string address, handlers on_change);

    /// Asks for what is newer than what is known. Call it a few times a second.
    void poll();

    /// Takes an answer; precondition: it holds a sync_update.
    void deliver(const link::sync_update& update);

    /// In force; null before the first.
    [[nodiscard]] configuration_ptr current() const;
    [[nodiscard]] host_list_ptr hosts() const;

private:
    messenger& m_links;
    std::string m_address;
    handlers m_on_change;
    mutable std::mutex m_mutex;
    replica m_replica;
};

} // namespace hickorykeel
