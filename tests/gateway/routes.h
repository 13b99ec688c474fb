#pragma once

#include "gateway/configuration/publication.h"

namespace hickorykeel::gateway::tests {

/// A route of `kind` with defaults else.
inline route make_route(request_kind kind, unsigned max_attempts, bool is_resumable = false)
{
    route made;
    made.kind = kind;
    made.max_attempts = max_attempts;
    made.is_resumable = is_resumable;
    return made;
}

} // namespace hickorykeel::gateway::tests
