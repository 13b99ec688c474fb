#include "version/diff.h"

#include <algorithm> // stable_sort
#include <map>       // map
#include <sstream>   // ostringstream

namespace hickorykeel {

namespace detail {
namespace {

/// Kind of value at a path, which decides the warning for its change.
enum class value_kind { record, organisation, home, key, endpoint, endpoint_state, other };

struct path_value {
    value_kind kind = value_kind::other;
    std::string value;
};

/// Values of a configuration by path. The order puts a record before its members.
using values_by_path = std::map<std::string, path_value>;

std::string to_text(bool value)
{
    return value ? "true" : "false";
}

std::string to_text(double value)
{
    std::ostringstream out;
    out.precision(15);
    out << value;
    return out.str();
}

std::string to_text(std::uint64_t value)
{
    return std::to_string(value);
}

std::string to_text(const std::vector<std::string>& values)
{
    std::string text;
    for (const auto& value : values) {
        text += text.empty() ? value : ", " + value;
    }
    return text;
}

void add(values_by_path& into, const failure_domain& value)
{
    const auto path = "failure_domains/" + value.name;
    into[path] = {value_kind::record, value.name};
    into[path + "/region"].value = value.region;
}

void add(values_by_path& into, const organisation& value)
{
    const auto path = "organisations/" + value.name;
    into[path] = {value_kind::organisation, value.name};
    into[path + "/home"] = {value_kind::home, value.home};
    into[path + "/rate"].value = to_text(value.rate);
    into[path + "/burst"].value = to_text(value.burst);
    const auto keys_path = path + "/key_digests/";
    for (const auto& digest : value.key_digests) {
        into[keys_path + digest] = {value_kind::key, digest};
    }
}

void add(values_by_path& into, const profile& value)
{
    const auto path = "profiles/" + value.name;
    into[path] = {value_kind::record, value.name};
    into[path + "/regions"].value = to_text(value.regions);
    into[path + "/organisations"].value = to_text(value.organisations);
    into[path + "/open"].value = to_text(value.is_open);
    into[path + "/targets"].value = to_text(value.targets);
    into[path + "/idempotent"].value = to_text(value.is_idempotent);
    into[path + "/interactive"].value = to_text(value.is_interactive);
    into[path + "/deadline_ms"].value = std::to_string(value.deadline.count());
    into[path + "/rate"].value = to_text(value.rate);
    into[path + "/burst"].value = to_text(value.burst);
    into[path + "/max_output_tokens"].value = to_text(value.max_output_tokens);
}

void add(values_by_path& into, const std::string& target_path, const endpoint& value)
{
    const auto path = target_path + "/endpoints/" + value.name;
    into[path] = {value_kind::endpoint, value.name};
    into[path + "/failure_domain"].value = value.failure_domain;
    into[path + "/address"].value = value.address;
    into[path + "/state"] = {value_kind::endpoint_state, value.is_leaving ? "leaving" : "live"};
    into[path + "/checks_fencing"].value = to_text(value.checks_fencing);
    into[path + "/tls"].value = to_text(value.uses_tls);
    into[path + "/slots"].value = to_text(std::uint64_t{value.slots});
}

void add(values_by_path& into, const target& value)
{
    const auto path = "targets/" + value.name;
    into[path] = {value_kind::record, value.name};
    into[path + "/kind"].value = value.kind == target_kind::model ? "model" : "service";
    into[path + "/tokens_per_call"].value = to_text(value.tokens_per_call);
    for (const auto& item : value.endpoints) {
        add(into, path, item);
    }
}

template <typename Record>
void add_all(values_by_path& into, const std::map<std::string, Record>& records)
{
    for (const auto& [name, record] : records) {
        add(into, record);
    }
}

values_by_path to_values_by_path(const configuration& from)
{
    values_by_path built;
    add_all(built, from.failure_domains);
    add_all(built, from.organisations);
    add_all(built, from.profiles);
    add_all(built, from.targets);
    return built;
}

change_warning to_warning(change_kind kind, value_kind changed, const std::string& after)
{
    const bool is_removed = kind == change_kind::removed;
    switch (changed) {
    case value_kind::organisation:
        return is_removed ? change_warning::organisation_removed : change_warning::none;
    case value_kind::key:
        return is_removed ? change_warning::key_withdrawn : change_warning::none;
    case value_kind::endpoint:
        return is_removed ? change_warning::endpoint_leaving : change_warning::none;
    case value_kind::endpoint_state:
        return kind == change_kind::changed && after == "leaving" ? change_warning::endpoint_leaving
                                                                  : change_warning::none;
    case value_kind::home:
        return kind == change_kind::changed ? change_warning::home_moved : change_warning::none;
    case value_kind::record:
    case value_kind::other:
        break;
    }
    return change_warning::none;
}

/// Whether `from` lacks a record that contains `path`; then only the record itself is listed.
bool is_in_missing_record(const values_by_path& from, const std::string& path)
{
    const auto first = path.find('/');
    for (auto end = path.find('/', first + 1); end != std::string::npos;
         end = path.find('/', end + 1)) {
        const auto parent = path.substr(0, end);
        // "…/endpoints" and "…/key_digests" are lists, not records
        const bool is_list = parent.ends_with("/endpoints") || parent.ends_with("/key_digests");
        if (!is_list && !from.contains(parent)) {
            return true;
        }
    }
    return false;
}

void add_missing_paths(const values_by_path& from, const values_by_path& other, change_kind kind,
                       std::vector<configuration_change>& changes)
{
    for (const auto& [path, found] : from) {
        if (other.contains(path)) {
            continue;
        }
        const auto warning = to_warning(kind, found.kind, {});
        if (warning == change_warning::none && is_in_missing_record(other, path)) {
            continue;
        }
        const bool is_added = kind == change_kind::added;
        changes.push_back({kind, path, is_added ? std::string{} : found.value,
                           is_added ? found.value : std::string{}, warning});
    }
}

void add_changed(const values_by_path& before, const values_by_path& after,
                 std::vector<configuration_change>& changes)
{
    for (const auto& [path, found] : before) {
        const auto it = after.find(path);
        if (it != after.end() && it->second.value != found.value) {
            const auto warning = to_warning(change_kind::changed, found.kind, it->second.value);
            changes.push_back({change_kind::changed, path, found.value, it->second.value, warning});
        }
    }
}

} // namespace
} // namespace detail

std::vector<configuration_change> diff(const configuration& before, const configuration& after)
{
    const auto old_values = detail::to_values_by_path(before);
    const auto new_values = detail::to_values_by_path(after);
    std::vector<configuration_change> changes;
    detail::add_missing_paths(old_values, new_values, change_kind::removed, changes);
    detail::add_missing_paths(new_values, old_values, change_kind::added, changes);
    detail::add_changed(old_values, new_values, changes);
    std::stable_sort(changes.begin(), changes.end(),
                     [](const auto& lhs, const auto& rhs) { return lhs.path < rhs.path; });
    return changes;
}

} // namespace hickorykeel
