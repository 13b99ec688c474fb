#pragma once

#include "gateway/serving/exchange.h"
#include "gateway/serving/placement_queue.h"

namespace hickorykeel::gateway {

/// Callers' requests that wait for a free slot.
using waiting_queue = placement_queue<exchange>;

} // namespace hickorykeel::gateway
