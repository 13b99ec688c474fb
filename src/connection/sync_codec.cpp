#include "connection/sync_codec.h"

#include "version/json_text.h"

#include <algorithm> // clamp, min
#include <limits>    // numeric_limits
#include <optional>  // optional
#include <string>    // string
#include <utility>   // move

namespace hickorykeel {

namespace {

void add_entry(const entry_change& change, link::sync_update& update)
{
    auto& entry = *update.add_entries();
    entry.set_key(change.key);
    entry.set_revision(change.revision);
    entry.set_deleted(change.is_deleted);
    if (!change.is_deleted) {
        entry.set_value(change.value.dump());
    }
}

std::optional<entry_change> to_change(const link::published_entry& entry)
{
    if (entry.deleted()) {
        return entry_change{entry.key(), nullptr, true, entry.revision()};
    }
    auto value = parse_json(entry.value());
    if (value.is_discarded()) {
        return std::nullopt;
    }
    return entry_change{entry.key(), std::move(value), false, entry.revision()};
}

std::optional<entries_update> to_entries_update(const link::sync_update& update)
{
    entries_update built{update.base_revision(), update.configuration_revision(), {}};
    for (const auto& entry : update.entries()) {
        auto change = to_change(entry);
        if (!change) {
            return std::nullopt;
        }
        built.entries.push_back(std::move(*change));
    }
    return built;
}

update_outcome apply_entries(replica& held, const link::sync_update& update)
{
    if (update.configuration_revision() <= held.revision()) {
        return update_outcome::ignored;
    }
    const auto built = to_entries_update(update);
    return built ? held.apply(*built) : update_outcome::malformed;
}

update_outcome apply_hosts(replica& held, const link::sync_update& update)
{
    if (update.host_list().empty() || update.host_list_revision() <= held.hosts_revision()) {
        return update_outcome::ignored;
    }
    auto hosts = parse_json(update.host_list());
    if (hosts.is_discarded()) {
        return update_outcome::malformed;
    }
    return held.apply(hosts_update{update.host_list_revision(), std::move(hosts)});
}

std::uint32_t to_age_ms(duration age)
{
    // rounded up, so that the reported age is never below the actual one
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(age).count();
    constexpr std::int64_t longest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(milliseconds, 0, longest));
}

} // namespace

link::sync_request make_request(const replica& held)
{
    link::sync_request request;
    request.set_configuration_revision(held.revision());
    request.set_host_list_revision(held.hosts_revision());
    return request;
}

link::sync_update make_update(const replica& held, const link::sync_request& asked, time_point now)
{
    link::sync_update update;
    update.set_configuration_revision(held.revision());
    update.set_base_revision(std::min(asked.configuration_revision(), held.revision()));
    if (asked.configuration_revision() < held.revision()) {
        const auto changes = held.changes_since(asked.configuration_revision());
        update.set_base_revision(changes.base);
        for (const auto& change : changes.entries) {
            add_entry(change, update);
        }
    }
    update.set_host_list_revision(held.hosts_revision());
    if (asked.host_list_revision() < held.hosts_revision()) {
        update.set_host_list(held.published_hosts().hosts.dump());
    }
    if (const auto confirmed_at = held.confirmed_at()) {
        update.set_confirmed_age_ms(to_age_ms(now - *confirmed_at));
    }
    return update;
}

sync_outcome apply_update(replica& held, const link::sync_update& update)
{
    return {apply_entries(held, update), apply_hosts(held, update)};
}

} // namespace hickorykeel
