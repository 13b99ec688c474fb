#pragma once

#include "gateway/configuration/publication.h"
#include "process/error.h"

#include <functional> // function
#include <string>     // string

namespace hickorykeel::gateway {

/// Where the published configuration and the list of endpoints are read. Answers come on the
/// loop's thread, each exactly once, within a time limit of the source's own.
class publication_source {
public:
    publication_source() = default;
    publication_source(const publication_source&) = delete;
    publication_source& operator=(const publication_source&) = delete;
    publication_source(publication_source&&) = delete;
    publication_source& operator=(publication_source&&) = delete;
    virtual ~publication_source() = default;

    using handler = std::function<void(result<published_reading>)>;

    virtual void read(handler on_answer) = 0;

    /// What another host has read.
    [[nodiscard]] virtual result<published_reading> decode(const std::string& text) const = 0;
};

} // namespace hickorykeel::gateway
