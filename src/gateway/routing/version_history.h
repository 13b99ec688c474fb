#pragma once

#include "gateway/configuration/publication.h"
#include "process/clock.h"

#include <chrono>   // seconds
#include <cstdint>  // uint32_t
#include <map>      // map
#include <optional> // optional
#include <string>   // string

namespace hickorykeel::gateway {

/// The software versions of each service's endpoints that were published of late, in all regions.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class version_history {
public:
    /// Time for which versions that are no longer published are remembered; the longest window.
    static constexpr duration retention = std::chrono::seconds{60};

    /// Records the entries that are published.
    /// @param read_at latest time at which they are known to have been the newest ones
    void update(const std::map<std::string, endpoint_entry>& entries, time_point read_at,
                time_point now);

    /// Returns the hash of the only version that the service's endpoints had in the last `window`;
    /// nothing if there were several or none, or if this host doesn't know the whole of it.
    [[nodiscard]] std::optional<std::uint32_t> only_version(const std::string& service,
                                                            duration window, time_point now) const;

    /// Whether the service's endpoints had several versions in the last `window`, by what this host
    /// knows.
    [[nodiscard]] bool has_several(const std::string& service, duration window,
                                   time_point now) const;

private:
    /// Times at which a version was last published, by its hash.
    using versions = std::map<std::uint32_t, time_point>;

    std::map<std::string, versions> m_services; ///< by name
    std::optional<time_point> m_known_since;    ///< set with the first entries
};

} // namespace hickorykeel::gateway
