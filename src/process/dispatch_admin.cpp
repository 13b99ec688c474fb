#include "process/dispatch_admin.h"

#include "process/common_admin.h"

namespace hickorykeel {

admin_server::options to_admin_options(const dispatch::options& chosen, dispatch& process,
                                       stop_signal& stop)
{
    const process_identity who{"hickorykeel-dispatch", chosen.host, chosen.failure_domain,
                               boot_clock::now()};
    admin_server::options built;
    built.registry = &process.registry();
    built.is_ready = [&process] { return process.is_ready(); };
    built.routes = {
        {status_call.method, status_call.path,
         [who, &process](const admin_request&) {
             return admin_answer{200, to_json(who, process.status(), boot_clock::now())};
         }},
        make_hosts_route([&process] { return process.status().hosts; }),
        make_drain_route([&process] { return process.status().running; }, stop),
        make_validate_route(),
    };
    return built;
}

} // namespace hickorykeel
