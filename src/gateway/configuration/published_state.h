#pragma once

#include "gateway/configuration/publication.h"
#include "process/clock.h"

#include <chrono>   // milliseconds
#include <cstdint>  // uint64_t
#include <map>      // map
#include <optional> // optional
#include <set>      // set
#include <string>   // string
#include <vector>   // vector

namespace hickorykeel::gateway {

/// Options of `published_state`.
struct published_state_options {
    /// Time for which API keys are accepted after the held state was last confirmed up to date.
    duration key_lease = std::chrono::milliseconds{4'500};
    /// Time for which endpoints missing from the source are kept after an outage of the source,
    /// during which their entries may have lapsed. Draining endpoints are not kept. The time starts
    /// with the first reading applied after a failed read, relayed readings included.
    duration settling_time = std::chrono::milliseconds{2'500};
    /// Time after the source was restored from an older copy for which what it shows may be out of
    /// date: evacuations that were known before are kept, and entries of endpoints that are older
    /// than the known ones aren't used. Both are written again meanwhile if they still hold.
    duration restoring_time = std::chrono::milliseconds{5'000};
};

/// Changes that applying a reading made to the state.
struct state_change {
    /// The version rose or the evacuated failure domains changed.
    bool is_configuration_changed = false;
    std::vector<std::string> removed; ///< ids of removed endpoints
};

/// Latest published configuration and endpoints known to this host, and their age.
///
/// Each reading comes with `confirmed_at`, the latest time at which it is known to have been up to
/// date: the time at which the request for it was sent, less the age reported by a relaying host.
/// Neither the position nor the version ever decreases. A reading with a lower version than the held
/// one, as of a source that was restored from an older copy, leaves the held configuration in force.
///
/// After the source was restored from an older copy, an endpoint's entry in it is compared with the
/// newest one that is known, by the starts of their incarnations and their sequences, and the newer
/// one counts.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class published_state {
public:
    explicit published_state(published_state_options options) : m_options{options} {}

    /// @name readings
    /// @{
    /// Replaces the held state by `reading` and returns what changed. A reading of a lower position
    /// than the held one is ignored and yields an empty change. One of a new era counts as the first
    /// one after an outage, and one of a lower version as not confirmed.
    ///
    /// @param confirmed_at latest time at which the reading is known to have been up to date
    state_change apply(published_reading reading, time_point confirmed_at, time_point now);

    /// Records that the held state was up to date at `confirmed_at`. Removes endpoints that were
    /// kept for the settling time, and evacuations that were kept for the restoring time, once it is
    /// over.
    state_change confirm(time_point confirmed_at, time_point now);

    /// Records a failed read of the source.
    void on_failure() noexcept { m_had_outage = true; }

    /// Withholds trust in the source until `end_version_check()`: it may have been restored from a
    /// copy that is older than what other hosts hold. Called at the start of the process; also done
    /// where a reading is of a new era.
    void begin_version_check() noexcept { m_is_version_checked = false; }

    /// Records that no other host holds a higher version, as far as can be told (see
    /// `version_check`).
    void end_version_check() noexcept
    {
        m_is_version_checked = true;
        m_trusted_at = m_confirmed_at;
    }
    /// @}

    /// @name state
    /// @{

    /// The published configuration, or null while none is known.
    [[nodiscard]] const publication_ptr& published() const noexcept { return m_last.published; }
    [[nodiscard]] const published_reading& last() const noexcept { return m_last; }
    [[nodiscard]] const std::map<std::string, endpoint_entry>& endpoints() const noexcept
    {
        return m_endpoints;
    }
    [[nodiscard]] bool is_evacuated(const std::string& failure_domain) const
    {
        return m_last.evacuated_domains.contains(failure_domain);
    }

    /// Whether API keys may be accepted: a configuration is known and was confirmed up to date
    /// within the key lease, so a key's withdrawal is missed for no longer than the lease. What is
    /// confirmed while the version has yet to be checked doesn't count.
    [[nodiscard]] bool may_accept_keys(time_point now) const noexcept
    {
        return m_last.published != nullptr && m_trusted_at != time_point{} &&
               now < m_trusted_at + m_options.key_lease;
    }

    /// Whether the held version was compared with those of other hosts since the start of the process
    /// and of the source's era.
    [[nodiscard]] bool is_version_checked() const noexcept { return m_is_version_checked; }

    /// Whether a version check has ended since the start of the process.
    [[nodiscard]] bool has_been_trusted() const noexcept { return m_trusted_at != time_point{}; }

    /// Time since the held state was last confirmed up to date.
    [[nodiscard]] duration age(time_point now) const noexcept { return now - m_confirmed_at; }
    /// @}

private:
    struct removed_endpoint {
        endpoint_entry entry; ///< its last one
        time_point removed_at{};
    };

    void begin_era(time_point now);
    void set_confirmed(time_point confirmed_at) noexcept;
    void keep_evacuations(published_reading& reading, time_point now);
    [[nodiscard]] std::optional<endpoint_entry> newest_of(const endpoint_entry& entry) const;
    [[nodiscard]] std::map<std::string, endpoint_entry>
    to_listed(const std::vector<endpoint_entry>& entries, time_point now) const;
    void remove(const endpoint_entry& entry, time_point now, state_change& change);
    void update_endpoints(const published_reading& reading, time_point now, state_change& change);

    published_state_options m_options;
    published_reading m_last;
    std::map<std::string, endpoint_entry> m_endpoints;
    time_point m_confirmed_at{};
    /// Latest confirmation that counts for keys; unset until the first version check has ended.
    time_point m_trusted_at{};
    bool m_is_version_checked = true;
    time_point m_settling_until{};
    time_point m_restoring_until{};
    std::set<std::string> m_listed_evacuations;        ///< by the last reading
    std::set<std::string> m_former_evacuations;        ///< known before the source was restored
    std::map<std::string, removed_endpoint> m_removed; ///< of late, by id
    bool m_had_outage = false;
};

} // namespace hickorykeel::gateway
