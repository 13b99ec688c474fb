#pragma once

#include "process/clock.h"

#include <chrono>   // seconds
#include <map>      // map
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace hickorykeel::gateway {

/// The timeouts that the routes to each service have had of late. A stream may have begun under a
/// longer timeout than the present one.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class recent_timeouts {
public:
    /// Time for which a timeout is remembered after it has been replaced.
    static constexpr duration retention = std::chrono::seconds{60};

    /// Replaces the timeouts in force.
    /// @param longest longest timeout of the routes to each service
    void update(const std::map<std::string, duration>& longest, time_point now);

    /// Returns the longest timeout of the routes to a service in the last `retention`; `retention` if
    /// there were none.
    [[nodiscard]] duration longest(const std::string& service, time_point now) const;

private:
    struct timeout {
        duration value{0};
        std::optional<time_point> replaced_at;
    };

    std::map<std::string, std::vector<timeout>> m_services; ///< by name
};

} // namespace hickorykeel::gateway
