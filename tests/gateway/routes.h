#pragma once

#include "gateway/configuration/publication.h"

namespace hickorykeel::gateway::tests {

/// Returns a route of `kind` with default values otherwise.
inline route make_route(request_kind kind, unsigned max_attempts, bool is_resumable = false)
{
    route result;
    result.kind = kind;
    result.max_attempts = max_attempts;
    result.is_resumable = is_resumable;
    return result;
}

} // namespace hickorykeel::gateway::tests
