#pragma once

#include "generated/link.pb.h"
#include "process/clock.h"
#include "version/replica.h"

namespace hickorykeel {

/// Outcomes of the two parts of a sync_update.
struct sync_outcome {
    update_outcome entries = update_outcome::ignored;
    update_outcome hosts = update_outcome::ignored;
};

/// Returns the request for everything newer than the revisions of `held`. Thread safe if `held`
/// isn't modified meanwhile; this holds for all functions here.
[[nodiscard]] link::sync_request make_request(const replica& held);

/// Returns the response to `asked`: the parts of `held` that are newer than the requester's
/// revisions, and the revisions of `held`, which are set even if nothing is newer.
/// @param now for the age of the last confirmation
[[nodiscard]] link::sync_update make_update(const replica& held, const link::sync_request& asked,
                                            time_point now);

/// Applies the newer parts of `update`. A part with a value that isn't JSON is malformed.
/// Complexity: linear in the size of the state if a part is newer.
sync_outcome apply_update(replica& held, const link::sync_update& update);

} // namespace hickorykeel
