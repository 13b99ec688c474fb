#pragma once

#include <caf/actor_system_config.hpp>
#include <caf/atom.hpp>

namespace hickorykeel {

/// Settings of a process' actors. One queue is shared by the scheduler's threads, which sleep on
/// it: with a queue each, threads without work would wake up all the time to look for some.
class actor_config : public caf::actor_system_config {
public:
    actor_config() { set("scheduler.policy", caf::atom("sharing")); }
};

} // namespace hickorykeel
