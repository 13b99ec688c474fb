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

/// Changes that lead from revision `base` to `revision`; with `base` 0 the whole state.
struct entries_update {
    std::uint64_t base = 0;
    std::uint64_t revision = 0;
    std::vector<entry_change> entries;
};

/// A published list of hosts, not yet checked.
struct hosts_update {
    std::uint64_t revision = 0;
    nlohmann::json hosts; ///< the JSON list
};

/// What became of an update.
enum class update_outcome {
    accepted,       ///< its revision is in force
    ignored,        ///< nothing newer than what is held
    needs_snapshot, ///< changes between the held revision and its base are missing
    refused,        ///< held for relaying, but its state has faults; nothing in force changed
    malformed,      ///< contradicts itself; nothing was taken from it
};

/// A revision that is held but not in force.
struct refused_revision {
    std::uint64_t revision = 0;
    std::vector<configuration_fault> faults;
};

/// Newest published entries and hosts that this process knows, and what of them is in force.
///
/// Neither the held nor the in-force revision ever falls. The held entries are relayed also where
/// their state is refused: each receiver checks by itself, and later changes build on them.
///
/// Thread safety: none; one actor owns it. What it hands out is immutable.
class replica {
public:
    /// Changes kept for relaying; older askers get the whole state.
    static constexpr std::size_t maximum_log = 1'000;

    /// @name updates
    /// @{

    /// Takes newer changes and checks the state that they lead to, linear in its size.
    update_outcome apply(const entries_update& update);

    /// Takes a newer list of hosts and checks it. Never answers needs_snapshot.
    update_outcome apply(const hosts_update& update);

    /// Notes that a source which knows the newest state had nothing newer at `moment`.
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

    /// What leads a holder of revision `after` to the held one: empty where it holds that or
    /// newer, else the changes, or the whole where the log no longer reaches back.
    [[nodiscard]] entries_update changes_since(std::uint64_t after) const;

    /// The held list of hosts, as published.
    [[nodiscard]] const hosts_update& published_hosts() const noexcept { return m_published_hosts; }

    /// @}
    /// @name health
    /// @{

    /// The held revision where it isn't in force, with its faults.
    [[nodiscard]] const std::optional<refused_revision>& refused_entries() const noexcept
    {
        return m_refused_entries;
    }
    [[nodiscard]] const std::optional<refused_revision>& refused_hosts() const noexcept
    {
        return m_refused_hosts;
    }

    /// When the held state was last known to be the newest; nothing: never.
    [[nodiscard]] std::optional<time_point> confirmed_at() const noexcept { return m_confirmed_at; }

    /// @}

private:
    void take_changes(const std::vector<entry_change>& changes);
    void take_snapshot(const entries_update& update);
    void put(const entry_change& change);
    void log(const entry_change& change);
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
