#include "version/replica.h"

#include "version/check_hosts.h"

#include <algorithm> // all_of, max, stable_sort
#include <memory>    // make_shared
#include <utility>   // move
#include <variant>   // get, get_if

namespace hickorykeel {

namespace {

/// Whether the revisions of `update` agree with each other.
bool is_well_formed(const entries_update& update)
{
    const auto is_in_range = [&update](const entry_change& change) {
        return change.revision > update.base && change.revision <= update.revision;
    };
    return update.base <= update.revision &&
           std::all_of(update.entries.begin(), update.entries.end(), is_in_range);
}

bool is_older(const entry_change& lhs, const entry_change& rhs) noexcept
{
    return lhs.revision < rhs.revision;
}

/// Returns the changes newer than `after`, oldest first.
std::vector<entry_change> select_newer(std::uint64_t after,
                                       const std::vector<entry_change>& changes)
{
    std::vector<entry_change> newer;
    for (const auto& change : changes) {
        if (change.revision > after) {
            newer.push_back(change);
        }
    }
    std::stable_sort(newer.begin(), newer.end(), is_older);
    return newer;
}

} // namespace

// model: configuration.pml, apply
update_outcome replica::apply(const entries_update& update)
{
    if (!is_well_formed(update)) {
        return update_outcome::malformed;
    }
    if (update.revision <= m_revision) {
        return update_outcome::ignored;
    }
    if (update.base > m_revision) {
        return update_outcome::needs_snapshot;
    }
    if (update.base == 0) {
        apply_snapshot(update);
    }
    else {
        apply_changes(select_newer(m_revision, update.entries));
    }
    m_revision = update.revision;
    return accept_held();
}

update_outcome replica::apply(const hosts_update& update)
{
    if (update.revision <= m_published_hosts.revision) {
        return update_outcome::ignored;
    }
    m_published_hosts = update;
    auto checked = check_hosts(update.revision, update.hosts);
    if (auto* faults = std::get_if<std::vector<configuration_fault>>(&checked)) {
        m_refused_hosts = refused_revision{update.revision, std::move(*faults)};
        return update_outcome::refused;
    }
    m_hosts = std::make_shared<const host_list>(std::move(std::get<host_list>(checked)));
    m_refused_hosts.reset();
    return update_outcome::accepted;
}

void replica::confirm(time_point moment) noexcept
{
    m_confirmed_at = std::max(m_confirmed_at.value_or(moment), moment);
}

// model: configuration.pml, send by a peer
entries_update replica::changes_since(std::uint64_t after) const
{
    if (after >= m_revision) {
        return {after, after, {}};
    }
    entries_update update{after, m_revision, {}};
    if (after == 0 || after < m_log_base) {
        update.base = 0;
        for (const auto& [key, value] : m_entries) {
            update.entries.push_back({key, value, false, m_revision_by_key.at(key)});
        }
        return update;
    }
    std::map<std::string, const entry_change*> newest;
    for (const auto& change : m_log) {
        if (change.revision > after) {
            newest[change.key] = &change;
        }
    }
    for (const auto& [key, change] : newest) {
        update.entries.push_back(*change);
    }
    return update;
}

void replica::apply_changes(const std::vector<entry_change>& changes)
{
    for (const auto& change : changes) {
        store(change);
        append_to_log(change);
    }
}

void replica::apply_snapshot(const entries_update& update)
{
    m_entries.clear();
    m_revision_by_key.clear();
    for (const auto& change : update.entries) {
        store(change);
    }
    // the revision at which a missing key was deleted is unknown, so a process with an older
    // revision needs the complete state
    m_log.clear();
    m_log_base = update.revision;
}

void replica::store(const entry_change& change)
{
    if (change.is_deleted) {
        m_entries.erase(change.key);
        m_revision_by_key.erase(change.key);
        return;
    }
    m_entries[change.key] = change.value;
    m_revision_by_key[change.key] = change.revision;
}

void replica::append_to_log(const entry_change& change)
{
    m_log.push_back(change);
    if (m_log.size() > maximum_log_changes) {
        m_log_base = m_log.front().revision;
        m_log.pop_front();
    }
}

// model: configuration.pml, accept_held
update_outcome replica::accept_held()
{
    auto checked = check(m_revision, m_entries);
    if (auto* faults = std::get_if<std::vector<configuration_fault>>(&checked)) {
        m_refused_entries = refused_revision{m_revision, std::move(*faults)};
        return update_outcome::refused;
    }
    m_in_force = std::make_shared<const configuration>(std::move(std::get<configuration>(checked)));
    m_refused_entries.reset();
    return update_outcome::accepted;
}

} // namespace hickorykeel
