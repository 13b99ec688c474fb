#pragma once

#include "process/admin_server.h"
#include "process/entry.h"
#include "process/stop_signal.h"

namespace hickorykeel {

/// Health, metrics and administration of `process`. All that is given outlives the server.
/// @return without address and key
[[nodiscard]] admin_server::options to_admin_options(entry& process, stop_signal& stop);

} // namespace hickorykeel
