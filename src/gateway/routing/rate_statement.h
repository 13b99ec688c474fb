#pragma once

#include "process/clock.h"

#include <optional> // optional

namespace hickorykeel::gateway {

/// What an endpoint has said of the requests that it takes from all hosts together.
struct rate_statement {
    std::optional<double> max_rate; ///< requests per second; nothing: any number
    /// Latest time, as far as this host knows, before which the endpoint can't have said it.
    time_point said_at{};
};

} // namespace hickorykeel::gateway
