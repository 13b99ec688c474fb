#pragma once

#include "gateway/configuration/publication.h"
#include "process/error.h"

#include <functional> // function
#include <string>     // string

namespace hickorykeel::gateway {

/// Source of the published configuration and the list of endpoints.
///
/// Each read calls its handler exactly once, on the loop's thread, within a timeout that the
/// implementation sets.
class publication_source {
public:
    publication_source() = default;
    publication_source(const publication_source&) = delete;
    publication_source& operator=(const publication_source&) = delete;
    publication_source(publication_source&&) = delete;
    publication_source& operator=(publication_source&&) = delete;
    virtual ~publication_source() = default;

    using handler = std::function<void(result<published_reading>)>;

    /// Starts a read of the whole published state.
    virtual void read(handler on_reading) = 0;

    /// Decodes the `text` of a reading that a peer host relayed.
    [[nodiscard]] virtual result<published_reading> decode(const std::string& text) const = 0;
};

} // namespace hickorykeel::gateway
