#pragma once

#include "process/admin_server.h"
#include "process/common_admin.h"
#include "process/configd.h"
#include "process/metrics.h"
#include "process/stop_signal.h"

#include <string> // string

#include <nlohmann/json.hpp>

namespace hickorykeel {

/// What `GET /admin/v1/status` of hickorykeel-configd answers: the members of every program, where
/// no request ever runs or waits, and the revisions held, the faults of refused ones, and the age
/// of the last confirmation. Pure; thread safe.
[[nodiscard]] nlohmann::json to_json(const process_identity& who,
                                     const configuration_status& status, bool is_leaving,
                                     time_point now);

/// Health, metrics and administration of `process`, which outlives the server. It is ready once a
/// configuration is in force.
/// @param registry gets the process's metrics; outlives the server
[[nodiscard]] admin_server::options to_admin_options(const configd::options& chosen,
                                                     const configd& process, metrics& registry,
                                                     stop_signal& stop);

} // namespace hickorykeel
