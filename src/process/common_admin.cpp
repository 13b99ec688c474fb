#include "process/common_admin.h"

#include "process/build_info.h"
#include "version/check.h"
#include "version/json_text.h"

#include <optional> // nullopt
#include <utility>  // move
#include <variant>  // get_if

namespace hickorykeel {

namespace detail {
namespace {

/// A revision that is not 0, which stands for no state at all.
constexpr std::uint64_t any_revision = 1;

std::int64_t to_milliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

std::string to_state(const serving_status& status)
{
    if (status.is_leaving) {
        return "leaving";
    }
    return status.in_force ? "live" : "starting";
}

admin_answer validate(const admin_request& request)
{
    const auto entries = parse_json(request.body);
    if (!entries.is_object()) {
        return to_admin_fault(400, "bad_request", "the body is no object of keys and values");
    }
    const auto outcome = check(any_revision, entries.get<published_entries>());
    auto list = nlohmann::json::array();
    if (const auto* faults = std::get_if<std::vector<configuration_fault>>(&outcome)) {
        for (const auto& fault : *faults) {
            list.push_back({{"path", fault.path}, {"message", fault.message}});
        }
    }
    const bool is_valid = list.empty();
    return {200, {{"is_valid", is_valid}, {"faults", std::move(list)}}};
}

} // namespace
} // namespace detail

nlohmann::json to_json(const process_identity& who, const serving_status& status, time_point now)
{
    return {{"program", who.program},
            {"version", build_version()},
            {"host", who.host},
            {"failure_domain", who.failure_domain},
            {"state", detail::to_state(status)},
            {"revision", status.in_force ? status.in_force->revision : 0},
            {"host_list_revision", status.hosts ? status.hosts->revision : 0},
            {"requests_running", status.running},
            {"requests_waiting", status.waiting},
            {"uptime_ms", detail::to_milliseconds(now - who.started)}};
}

nlohmann::json to_json(const host_list_ptr& listed, const heard_source& last_heard, time_point now)
{
    auto rows = nlohmann::json::array();
    for (const host& each : listed ? listed->hosts : std::vector<host>{}) {
        nlohmann::json row{{"name", each.name},
                           {"failure_domain", each.failure_domain},
                           {"state", each.state == host_state::live ? "live" : "leaving"},
                           {"caller_address", each.caller_address},
                           {"entry_address", each.entry_address},
                           {"dispatch_address", each.dispatch_address},
                           {"configd_address", each.configd_address},
                           {"heard_ms_ago", nullptr}};
        if (const auto heard = last_heard ? last_heard(each) : std::nullopt) {
            row["heard_ms_ago"] = detail::to_milliseconds(now - *heard);
        }
        rows.push_back(std::move(row));
    }
    return {{"revision", listed ? listed->revision : 0}, {"hosts", std::move(rows)}};
}

admin_route make_hosts_route(std::function<host_list_ptr()> listed, heard_source last_heard)
{
    return {hosts_call.method, hosts_call.path,
            [listed = std::move(listed), last_heard = std::move(last_heard)](const admin_request&) {
                return admin_answer{200, to_json(listed(), last_heard, boot_clock::now())};
            }};
}

admin_route make_drain_route(std::function<std::size_t()> count_running, stop_signal& stop)
{
    return {drain_call.method, drain_call.path,
            [count_running = std::move(count_running), &stop](const admin_request&) {
                const std::size_t running = count_running();
                stop.request();
                return admin_answer{200, {{"state", "leaving"}, {"requests_running", running}}};
            }};
}

admin_route make_validate_route()
{
    return {validate_call.method, validate_call.path, detail::validate};
}

} // namespace hickorykeel
