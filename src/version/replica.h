#pragma once

#include "process/clock.h"
#include "version/check.h"
#include "version/configuration.h"

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <deque>    // deque
#include <map>      // map
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <nlohmann/json.hpp>

namespace hickorykeel {

/// One published change of one key.
struct entry_change {
    std::string key;
    nlohmann::json value; ///< null where deleted
    bool is_deleted = false;
    std::uint64_t revision = 0;
};

/// Changes from revision `base` to `revision`; the complete state if `base` is 0.
struct entries_update {
    std::uint64_t base = 0;
    std::uint64_t revision = 0;
    std::vector<entry_change> entries;
};

/// A published list of hosts that has not been validated.
struct hosts_update {
    std::uint64_t revision = 0;
    nlohmann::json hosts; ///< the JSON list
};

/// Outcome of applying an update.
enum class update_outcome {
    accepted,       ///< its revision is now in force
    ignored,        ///< no newer than the held revision
    needs_snapshot, ///< changes between the held revision and its base are missing
    refused,        ///< invalid: held for relaying; the configuration in force is unchanged
    malformed,      ///< inconsistent; not applied
};

/// A held revision that is not in force because it is invalid.
struct refused_revision {
    std::uint64_t revision = 0;
    std::vector<configuration_fault> faults;
};

/// Newest published entries and list of hosts that this process has received (held), and the
/// newest valid ones (in force).
///
/// The held and the in-force revision never decrease. Invalid entries are relayed too: each
/// receiver validates them itself, and later changes are relative to them.
///
/// Thread safety: none; one actor owns it. Returned configurations are immutable.
class replica {
public:
    /// Changes that are kept for relaying; a process whose revision is older than these gets the
    /// complete state.
    static constexpr std::size_t maximum_log_changes = 1'000;

    /// @name updates
    /// @{

    /// Applies newer changes and validates the resulting state. Complexity: linear in its size.
    update_outcome apply(const entries_update& update);

    /// Applies and validates a newer list of hosts. Never returns needs_snapshot.
    update_outcome apply(const hosts_update& update);

    /// Records that a source with the newest state had no newer revision at `moment`.
    void confirm(time_point moment) noexcept;

    /// @}
    /// @name in force
    /// @{

    /// Newest accepted configuration; null until there is one.
    [[nodiscard]] const configuration_ptr& in_force() const noexcept { return m_in_force; }

    /// Newest accepted list of hosts; null until there is one.
    [[nodiscard]] const host_list_ptr& hosts() const noexcept { return m_hosts; }

    /// @}
    /// @name held for relaying
    /// @{

    /// Revision of the held entries; 0: none.
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }

    /// Revision of the held list of hosts; 0: none.
    [[nodiscard]] std::uint64_t hosts_revision() const noexcept
    {
        return m_published_hosts.revision;
    }

    [[nodiscard]] const published_entries& entries() const noexcept { return m_entries; }

    /// Returns the update from revision `after` to the held one: no changes if `after` is as new,
    /// and the complete state if the log no longer covers `after`.
    [[nodiscard]] entries_update changes_since(std::uint64_t after) const;

    /// The held list of hosts, as published.
    [[nodiscard]] const hosts_update& published_hosts() const noexcept { return m_published_hosts; }

    /// @}
    /// @name health
    /// @{

    /// The held revision and its validation errors, if it isn't in force.
    [[nodiscard]] const std::optional<refused_revision>& refused_entries() const noexcept
    {
        return m_refused_entries;
    }
    [[nodiscard]] const std::optional<refused_revision>& refused_hosts() const noexcept
    {
        return m_refused_hosts;
    }

    /// Time at which the held state was last confirmed to be the newest; nothing: never.
    [[nodiscard]] std::optional<time_point> confirmed_at() const noexcept { return m_confirmed_at; }

    /// @}

private:
    void apply_changes(const std::vector<entry_change>& changes);
    void apply_snapshot(const entries_update& update);
    void store(const entry_change& change);
    void append_to_log(const entry_change& change);
    update_outcome accept_held();

    published_entries m_entries;
    std::map<std::string, std::uint64_t> m_revision_by_key;
    std::uint64_t m_revision = 0;

    std::deque<entry_change> m_log; // by revision
    std::uint64_t m_log_base = 0;   // every change after this revision is in the log

    configuration_ptr m_in_force;
    host_list_ptr m_hosts;
    hosts_update m_published_hosts;

    std::optional<refused_revision> m_refused_entries;
    std::optional<refused_revision> m_refused_hosts;
    std::optional<time_point> m_confirmed_at;
};

} // namespace hickorykeel
