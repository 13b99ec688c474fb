#pragma once

#include "connection/messenger.h"
#include "process/configuration_relay.h"
#include "process/configuration_watch.h"
#include "version/replica.h"

#include <cstdint>    // uint64_t
#include <functional> // function
#include <memory>     // shared_ptr, unique_ptr
#include <optional>   // optional
#include <string>     // string

#include <caf/all.hpp>

namespace hickorykeel {

/// Messages to the actor that owns the published state.
namespace configuring {

/// A sync_request or sync_update that arrived on the link.
struct link_message {
    std::shared_ptr<received_message> received;
    time_point arrived;
};

struct platform_entries {
    std::shared_ptr<entries_update> update;
    time_point arrived;
};

struct platform_hosts {
    std::shared_ptr<hosts_update> update;
};

struct tick {};

} // namespace configuring

/// What the published state of a process looks like, for metrics and administration.
struct configuration_status {
    held_revisions held;
    configuration_ptr in_force; ///< null before the first
    host_list_ptr hosts;        ///< in force; null before the first
    std::optional<refused_revision> refused_entries;
    std::optional<refused_revision> refused_hosts;
    std::optional<time_point> confirmed_at; ///< last known to be the newest
    bool is_watcher = false;
    configuration_watch::plan plan; ///< what to read of the platform
};

/// State of the actor.
struct configd_state {
    replica held;
    std::unique_ptr<configuration_relay> relay;
    messenger* links = nullptr;
    std::function<void(configuration_status&&)> on_status;
    std::uint64_t applied_hosts = 0; ///< revision of the list that the relay has
};

/// Behaviour of the actor; messages are structs of `configuring`.
/// @param links outlives the actor
/// @param on_status told whenever the status may have changed; must not block
caf::behavior configd_actor(caf::stateful_actor<configd_state>* self,
                            const configuration_relay::options& chosen, messenger* links,
                            std::function<void(configuration_status&&)> on_status);

} // namespace hickorykeel

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::configuring::link_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::configuring::platform_entries)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::configuring::platform_hosts)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::configuring::tick)
