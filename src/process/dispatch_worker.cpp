#include "process/dispatch_worker.h"

#include "process/dispatch_actor.h"
#include "version/json_text.h"

#include <optional> // optional
#include <utility>  // move

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace hickorykeel {
namespace detail {

constexpr std::chrono::milliseconds load_timeout{500};

std::optional<load_report> ask_load(const endpoint& where, const tls_settings& tls)
{
    httplib::Client client((where.uses_tls ? "https://" : "http://") + where.address);
    prepare_client(client, tls);
    client.set_connection_timeout(load_timeout);
    client.set_read_timeout(load_timeout);
    const auto answer = client.Get("/v1/load");
    if (!answer || answer->status != 200) {
        return std::nullopt;
    }
    const auto body = parse_json(answer->body);
    if (!body.is_object()) {
        return std::nullopt;
    }
    const auto number = [&](const char* name) -> std::uint32_t {
        const auto found = body.find(name);
        return found != body.end() && found->is_number_unsigned() ? found->get<std::uint32_t>() : 0;
    };
    load_report report;
    report.running = number("running");
    report.waiting = number("waiting");
    report.slots = number("slots");
    report.age = std::chrono::milliseconds{number("age_ms")};
    return report;
}

} // namespace detail

caf::behavior dispatch_worker(caf::event_based_actor* self, const caf::actor& owner)
{
    return {
        [self, owner](working::run& order) {
            const std::uint64_t id = order.attempt.job->id;
            order.attempt.on_head = [owner, id] {
                caf::anon_send(owner, dispatching::attempt_head{id});
            };
            attempt_result result = run_attempt(order.attempt);
            // should it wait once more
            order.attempt.job->waiting_since = trace_span::clock::now();
            caf::anon_send(owner, dispatching::attempt_end{id, std::move(result),
                                                           caf::actor_cast<caf::actor>(self)});
        },
        [self, owner](const working::ask_load& order) {
            caf::anon_send(owner,
                           dispatching::endpoint_report{order.target_name, order.where.name,
                                                        detail::ask_load(order.where, order.tls),
                                                        caf::actor_cast<caf::actor>(self)});
        },
    };
}

} // namespace hickorykeel
