#pragma once

#include "gateway/configuration/publication.h"
#include "process/clock.h"

#include <chrono>   // milliseconds, seconds
#include <cstdint>  // uint32_t
#include <map>      // map
#include <optional> // optional
#include <string>   // string

namespace hickorykeel::gateway {

/// What a host knows of the past of all services together, for hosts that know less.
struct single_version_claim {
    /// Time for which no service has had more than one version; 0: some had, or it isn't known.
    duration span{0};
    std::uint32_t versions = 0; ///< hash of the services with their only versions
};

/// The software versions of each service's endpoints that were published of late, in all regions.
///
/// What is published is known up to the last confirmation of the state, and without gaps if each
/// confirmation is within `max_gap` of the one before. That is less than the time for which an entry
/// stays published, so no version can come and go unseen in between. After a longer gap, knowledge
/// begins anew: what was seen before still counts, but isn't known to be all there was.
///
/// What is newer than the last confirmation is unknown. `only_version` nevertheless answers while
/// the confirmation is within `max_gap`, the usual age of a state: the host that begins a stream at
/// a version that has just been published knows several versions itself.
///
/// Other hosts may use an endpoint for up to `max_gap` after this host has seen it removed. Windows
/// are longer by that time.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class version_history {
public:
    /// Time for which versions that are no longer published are remembered; the longest window.
    static constexpr duration retention = std::chrono::seconds{60};

    /// Longest time between two confirmations, or since the last one, without a loss of knowledge.
    static constexpr duration max_gap = std::chrono::milliseconds{2'500};

    /// @name knowledge
    /// @{

    /// Replaces the entries that are published. They count as seen until they are replaced.
    /// @param confirmed_at latest time at which they are known to have been the newest ones; the
    ///                     clock's epoch: they aren't
    void update(const std::map<std::string, endpoint_entry>& entries, time_point confirmed_at,
                time_point now);

    /// Records that the held entries were the newest ones at `confirmed_at`.
    void confirm(time_point confirmed_at, time_point now);

    /// Takes over what another host knows of the time before this host's own knowledge. That is of
    /// no use unless the same versions are published by the knowledge of both.
    /// Precondition: the claim was made less than a second ago.
    /// @return time by which the known past has become longer
    duration on_claim(const single_version_claim& claim, time_point now);
    /// @}

    /// @name state
    /// @{

    /// Returns the hash of the only version that the service's endpoints had in the last `window`;
    /// nothing if there were several or none, or if this host doesn't know the whole of it.
    [[nodiscard]] std::optional<std::uint32_t> only_version(const std::string& service,
                                                            duration window, time_point now) const;

    /// Whether the service's endpoints had several versions in the last `window`, by what this host
    /// knows.
    [[nodiscard]] bool has_several(const std::string& service, duration window,
                                   time_point now) const;

    /// Whether the service's endpoints may have had several versions: some were seen of late, or it
    /// isn't known that there was only one in the last `window`.
    [[nodiscard]] bool may_have_several(const std::string& service, duration window,
                                        time_point now) const
    {
        return has_several(service, retention, now) || !only_version(service, window, now);
    }

    /// Returns what this host can tell others of the time before now.
    [[nodiscard]] single_version_claim claim(time_point now) const;
    /// @}

private:
    struct version_state {
        bool is_listed = false;
        time_point seen{}; ///< when it was last published; unused while it is
    };

    using versions = std::map<std::uint32_t, version_state>; // by hash of the version

    [[nodiscard]] bool is_confirmed(time_point now) const noexcept;
    [[nodiscard]] std::optional<std::uint32_t> hash_of_only_versions() const;

    std::map<std::string, versions> m_services; ///< by name
    /// Since then, all versions are known. Unset until the first entries.
    std::optional<time_point> m_known_since;
    time_point m_confirmed_at{};
};

} // namespace hickorykeel::gateway
