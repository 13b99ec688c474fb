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

    using control_handler = std::function<void(result<control_reading>)>;
    using endpoints_handler = std::function<void(result<endpoints_reading>)>;

    virtual void read_control(control_handler on_answer) = 0;
    virtual void read_endpoints(endpoints_handler on_answer) = 0;

    /// @name what another host has read
    /// @{
    [[nodiscard]] virtual result<control_reading> decode_control(const std::string& text) const = 0;
    [[nodiscard]] virtual result<endpoints_reading>
    decode_endpoints(const std::string& text) const = 0;
    /// @}
};

} // namespace hickorykeel::gateway
