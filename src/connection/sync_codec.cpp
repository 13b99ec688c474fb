#include "connection/sync_codec.h"

#include <optional> // optional
#include <utility>  // move

namespace hickorykeel {
namespace detail {

// nothing where a value is not JSON
std::optional<entries_update> to_entries(const link::sync_update& update)
{
    entries_update entries;
    entries.base = update.base_revision();
    entries.revision = update.configuration_revision();
    for (const link::published_entry& entry : update.entries()) {
        entry_change change;
        change.key = entry.key();
        change.is_deleted = entry.deleted();
        change.revision = entry.revision();
        if (!entry.deleted()) {
            change.value = nlohmann::json::parse(entry.value(), nullptr, false);
            if (change.value.is_discarded()) {
                return std::nullopt;
            }
        }
        entries.entries.push_back(std::move(change));
    }
    return entries;
}

update_outcome apply_entries(replica& held, const link::sync_update& update)
{
    const auto entries = to_entries(update);
    return entries ? held.apply(*entries) : update_outcome::malformed;
}

update_outcome apply_hosts(replica& held, const link::sync_update& update)
{
    if (update.host_list().empty()) {
        return update_outcome::ignored;
    }
    hosts_update hosts;
    hosts.revision = update.host_list_revision();
    hosts.hosts = nlohmann::json::parse(update.host_list(), nullptr, false);
    return hosts.hosts.is_discarded() ? update_outcome::malformed : held.apply(hosts);
}

void add_entry(link::sync_update& update, const entry_change& change)
{
    link::published_entry& entry = *update.add_entries();
    entry.set_key(change.key);
    entry.set_deleted(change.is_deleted);
    entry.set_revision(change.revision);
    if (!change.is_deleted) {
        entry.set_value(change.value.dump());
    }
}

} // namespace detail

sync_outcome apply_update(replica& held, const link::sync_update& update)
{
    return {detail::apply_entries(held, update), detail::apply_hosts(held, update)};
}

link::sync_update make_update(const replica& held, const link::sync_request& asked)
{
    link::sync_update update;
    const entries_update changes = held.changes_since(asked.configuration_revision());
    update.set_base_revision(changes.base);
    update.set_configuration_revision(changes.revision);
    for (const entry_change& change : changes.entries) {
        detail::add_entry(update, change);
    }
    update.set_host_list_revision(held.hosts_revision());
    if (held.hosts_revision() > asked.host_list_revision()) {
        update.set_host_list(held.published_hosts().hosts.dump());
    }
    return update;
}

link::sync_request make_request(const replica& held)
{
    link::sync_request request;
    request.set_configuration_revision(held.revision());
    request.set_host_list_revision(held.hosts_revision());
    return request;
}

} // namespace hickorykeel
