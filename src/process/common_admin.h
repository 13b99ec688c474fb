#pragma once

#include "process/admin_server.h"
#include "process/clock.h"
#include "process/stop_signal.h"
#include "version/configuration.h"

#include <cstddef>    // size_t
#include <functional> // function
#include <optional>   // optional
#include <string>     // string

#include <nlohmann/json.hpp>

namespace hickorykeel {

/// Which process answers.
struct process_identity {
    std::string program; ///< "hickorykeel-entry"
    std::string host;
    std::string failure_domain;
    time_point started{};
};

/// State of a process that serves requests.
struct serving_status {
    bool is_leaving = false;
    configuration_ptr in_force; ///< null before the first
    host_list_ptr hosts;        ///< null before the first
    std::size_t running = 0;    ///< requests
    std::size_t waiting = 0;    ///< requests
};

/// The answer of `GET /admin/v1/status`. Pure; thread safe.
[[nodiscard]] nlohmann::json to_json(const process_identity& who, const serving_status& status,
                                     time_point now);

/// When a host was last heard; nothing: never, or the process does not listen to it.
using heard_source = std::function<std::optional<time_point>(const host&)>;

/// The answer of `GET /admin/v1/hosts`.
/// @param listed  may be null
/// @param last_heard  empty: the process hears no host
[[nodiscard]] nlohmann::json to_json(const host_list_ptr& listed, const heard_source& last_heard,
                                     time_point now);

/// @name routes of every program
/// What they are given outlives the server. Thread safe.
/// @{

/// `GET /admin/v1/hosts`.
/// @param listed  the list in force; null before the first
/// @param last_heard  empty: the process hears no host
[[nodiscard]] admin_route make_hosts_route(std::function<host_list_ptr()> listed,
                                           heard_source last_heard = {});

/// `POST /admin/v1/drain`: the same as SIGTERM.
[[nodiscard]] admin_route make_drain_route(std::function<std::size_t()> count_running,
                                           stop_signal& stop);

/// `POST /admin/v1/validate`.
[[nodiscard]] admin_route make_validate_route();

/// @}

} // namespace hickorykeel
