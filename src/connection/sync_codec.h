#pragma once

#include "generated/link.pb.h"
#include "version/replica.h"

#include <cstdint> // uint64_t

namespace hickorykeel {

/// What became of the two parts of a sync_update.
struct sync_outcome {
    update_outcome entries = update_outcome::ignored;
    update_outcome hosts = update_outcome::ignored;
};

/// Takes an update of another process into `held`. Parts that cannot be parsed are malformed.
/// Thread safety: that of `held`.
sync_outcome apply_update(replica& held, const link::sync_update& update);

/// Answer to a question: what leads the asker to the state that `held` has. Thread safety: that of
/// `held`.
[[nodiscard]] link::sync_update make_update(const replica& held, const link::sync_request& asked);

/// Question for all that is newer than what `held` has.
[[nodiscard]] link::sync_request make_request(const replica& held);

} // namespace hickorykeel
