#pragma once

#include "gateway/configuration/published_items.h"
#include "process/clock.h"
#include "process/error.h"

#include <functional> // function
#include <vector>     // vector

namespace hickorykeel::gateway {

/// Changes of the configuration and of evacuations that a watch has listed.
struct watched_changes {
    std::vector<published_item> items;
    source_position reached; ///< the next watch lists what has changed since
};

/// Source of the published configuration and the list of endpoints.
///
/// Thread safety: none; used on the loop's thread only.
class publication_source {
public:
    publication_source() = default;
    publication_source(const publication_source&) = delete;
    publication_source& operator=(const publication_source&) = delete;
    publication_source(publication_source&&) = delete;
    publication_source& operator=(publication_source&&) = delete;
    virtual ~publication_source() = default;

    using handler = std::function<void(result<published_changes>)>;

    /// Starts a read of what has changed since `since`, or of all items if it is none or if the
    /// source can't tell the changes, for example because its era is another one. Calls
    /// `on_changes` once, on the loop's thread, within a timeout that the implementation sets,
    /// unless the read is cancelled.
    /// Precondition: no read is under way.
    virtual void read(const source_position& since, handler on_changes) = 0;

    /// Ends the read under way, if any, without its handler.
    virtual void cancel_read() = 0;

    using watch_handler = std::function<void(result<watched_changes>)>;

    /// Waits until the configuration or an evacuation has changed since `since`, for `max_wait` at
    /// most. Calls `on_changes` once, on the loop's thread, with these changes, or none after
    /// `max_wait`, unless the watch is cancelled. It is an error if the source can't tell them, for
    /// example because its era is another one.
    /// Precondition: no watch is under way, and `since` is not none.
    virtual void watch(const source_position& since, duration max_wait,
                       watch_handler on_changes) = 0;

    /// Ends the watch under way, if any, without its handler.
    virtual void cancel_watch() = 0;

    /// Decodes an item. An item without which the state is of no use, and which is invalid, is an
    /// error.
    [[nodiscard]] virtual result<published_value> decode(const published_item& item) const = 0;
};

} // namespace hickorykeel::gateway
