#pragma once

#include "generated/link.pb.h"
#include "process/clock.h"
#include "version/replica.h"

namespace hickorykeel {

/// What became of the two parts of a sync_update.
struct sync_outcome {
    update_outcome entries = update_outcome::ignored;
    update_outcome hosts = update_outcome::ignored;
};

/// Question for everything that is newer than what `held` holds. Thread safe where `held` isn't
/// written meanwhile; the same goes for all functions here.
[[nodiscard]] link::sync_request make_request(const replica& held);

/// Answer to `asked`: what `held` holds beyond the asker's revisions. Its revisions are those of
/// `held`, also where the asker has the same or newer ones and nothing else is in it.
/// @param now for the age of the last confirmation
[[nodiscard]] link::sync_update make_update(const replica& held, const link::sync_request& asked,
                                            time_point now);

/// Takes what is newer in `update`. Values that are no JSON make its part malformed.
/// Linear in the size of the state where something is newer.
sync_outcome apply_update(replica& held, const link::sync_update& update);

} // namespace hickorykeel
