#pragma once

#include "process/admin_server.h"
#include "process/dispatch.h"
#include "process/stop_signal.h"

namespace hickorykeel {

/// Health, metrics and administration of `process`. All that is given outlives the server.
/// @return without address and key
[[nodiscard]] admin_server::options to_admin_options(const dispatch::options& chosen,
                                                     dispatch& process, stop_signal& stop);

} // namespace hickorykeel
