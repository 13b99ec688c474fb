#include "process/configd_admin.h"

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

std::uint64_t in_force_revision(const configuration_status& status)
{
    return status.in_force ? status.in_force->revision : 0;
}

std::uint64_t host_list_revision(const configuration_status& status)
{
    return status.hosts ? status.hosts->revision : 0;
}

void set_gauges(gauge_family& revisions, gauge_family& faults, const configuration_status& status)
{
    revisions.with({"entries", "held"}).Set(static_cast<double>(status.held.entries));
    revisions.with({"entries", "in_force"}).Set(static_cast<double>(in_force_revision(status)));
    revisions.with({"hosts", "held"}).Set(static_cast<double>(status.held.hosts));
    revisions.with({"hosts", "in_force"}).Set(static_cast<double>(host_list_revision(status)));
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

nlohmann::json to_json(const process_identity& who, const configuration_status& status,
                       bool is_leaving, time_point now)
{
    auto built = to_json(who, serving_status{is_leaving, status.in_force, status.hosts, 0, 0}, now);
    built.update({{"held_revision", status.held.entries},
                  {"held_host_list_revision", status.held.hosts},
                  {"refused", detail::to_json(status.refused_entries)},
                  {"refused_host_list", detail::to_json(status.refused_hosts)},
                  {"confirmed_ms_ago", nullptr},
                  {"watches_platform", status.is_watcher}});
    if (status.confirmed_at) {
        built["confirmed_ms_ago"] = detail::to_milliseconds(now - *status.confirmed_at);
    }
    return built;
}

admin_server::options to_admin_options(const configd::options& chosen, const configd& process,
                                       metrics& registry, stop_signal& stop)
{
    detail::register_metrics(process, registry);
    const process_identity who{"hickorykeel-configd", chosen.host, chosen.failure_domain,
                               boot_clock::now()};
    admin_server::options built;
    built.routes = {
        {status_call.method, status_call.path,
         [who, &process, &stop](const admin_request&) {
             return admin_answer{
                 200, to_json(who, process.status(), stop.is_stopping(), boot_clock::now())};
         }},
        make_hosts_route([&process] { return process.status().hosts; }),
        make_drain_route([] { return std::size_t{0}; }, stop),
        make_validate_route(),
    };
    built.is_ready = [&process] { return process.status().in_force != nullptr; };
    built.registry = &registry;
    return built;
}

} // namespace hickorykeel
