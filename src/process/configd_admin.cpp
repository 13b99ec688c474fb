#include "process/configd_admin.h"

#include "process/build_info.h"
#include "process/common_admin.h"

#include <optional> // optional
#include <utility>  // move

namespace hickorykeel {

namespace detail {
namespace {

nlohmann::json to_json(const std::optional<refused_revision>& refused)
{
    if (!refused) {
        return nullptr;
    }
    auto faults = nlohmann::json::array();
    for (const auto& fault : refused->faults) {
        faults.push_back({{"path", fault.path}, {"message", fault.message}});
    }
    return {{"revision", refused->revision}, {"faults", std::move(faults)}};
}

std::int64_t to_milliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

std::size_t count_faults(const std::optional<refused_revision>& refused)
{
    return refused ? refused->faults.size() : 0;
}

void set_gauges(gauge_family& revisions, gauge_family& faults, const configuration_status& status)
{
    revisions.with({"entries", "held"}).Set(static_cast<double>(status.held.entries));
    revisions.with({"entries", "in_force"}).Set(static_cast<double>(status.in_force));
    revisions.with({"hosts", "held"}).Set(static_cast<double>(status.held.hosts));
    revisions.with({"hosts", "in_force"}).Set(static_cast<double>(status.hosts_in_force));
    faults.with({"entries"}).Set(static_cast<double>(count_faults(status.refused_entries)));
    faults.with({"hosts"}).Set(static_cast<double>(count_faults(status.refused_hosts)));
}

void register_metrics(const configd& process, metrics& registry)
{
    auto revisions = registry.gauges("hickorykeel_published_revision",
                                     "Revision of what was published", {"part", "state"});
    auto faults = registry.gauges("hickorykeel_published_faults",
                                  "Faults of the held revision where it is refused", {"part"});
    auto ages = registry.gauges("hickorykeel_published_confirmed_age_seconds",
                                "Time since the held entries were known to be the newest");
    auto reads =
        registry.counters("hickorykeel_platform_reads_total", "Calls of the platform's service");
    registry.before_collect([&process, revisions, faults, ages, reads]() mutable {
        const auto status = process.status();
        set_gauges(revisions, faults, status);
        if (status.confirmed_at) {
            ages.with({}).Set(to_seconds(boot_clock::now() - *status.confirmed_at));
        }
        auto& counter = reads.with({});
        counter.Increment(static_cast<double>(process.platform_reads()) - counter.Value());
    });
}

} // namespace
} // namespace detail

nlohmann::json to_json(const configuration_status& status, time_point now)
{
    nlohmann::json built{{"revision", status.in_force},
                         {"held_revision", status.held.entries},
                         {"host_list_revision", status.hosts_in_force},
                         {"held_host_list_revision", status.held.hosts},
                         {"refused", detail::to_json(status.refused_entries)},
                         {"refused_host_list", detail::to_json(status.refused_hosts)},
                         {"confirmed_ms_ago", nullptr},
                         {"watches_platform", status.is_watcher},
                         {"state", status.in_force == 0 ? "starting" : "live"}};
    if (status.confirmed_at) {
        built["confirmed_ms_ago"] = detail::to_milliseconds(now - *status.confirmed_at);
    }
    return built;
}

admin_server::options to_admin_options(const configd::options& chosen, const configd& process,
                                       metrics& registry, stop_signal& stop)
{
    detail::register_metrics(process, registry);
    admin_server::options built;
    built.routes.push_back(
        {status_call.method, status_call.path, [chosen, &process](const admin_request&) {
             auto body = to_json(process.status(), boot_clock::now());
             body["program"] = "hickorykeel-configd";
             body["version"] = build_version();
             body["host"] = chosen.host;
             body["failure_domain"] = chosen.failure_domain;
             return admin_answer{200, std::move(body)};
         }});
    built.routes.push_back(make_drain_route([] { return std::size_t{0}; }, stop));
    built.routes.push_back(make_validate_route());
    built.is_ready = [&process] { return process.status().in_force != 0; };
    built.registry = &registry;
    return built;
}

} // namespace hickorykeel
