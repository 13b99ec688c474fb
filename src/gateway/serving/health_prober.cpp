#include "gateway/serving/health_prober.h"

#include <chrono>      // milliseconds
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <utility>     // exchange, move

#include <asio/steady_timer.hpp> // steady_timer

namespace hickorykeel::gateway {

namespace {

/// Timeout of a probe. A probe that times out leaves the endpoint's state unchanged.
constexpr duration response_timeout = std::chrono::milliseconds{600};
constexpr duration connect_timeout = std::chrono::milliseconds{300};
constexpr int status_ok = 200;
/// Stands for the id that a probe doesn't have, so that no connection carries two probes: a late copy
/// of the response to the first would be taken for that to the second.
constexpr std::string_view probe_id = "health probe";

/// Precondition: the call has not ended with a complete response.
probe_failure to_probe_failure(call_end end) noexcept
{
    switch (end) {
    case call_end::refused:
        return probe_failure::refused;
    case call_end::not_accepted:
    case call_end::no_response:
    case call_end::broken:
        return probe_failure::disconnected;
    default:
        return probe_failure::unanswered;
    }
}

} // namespace

struct health_prober::probe_state {
    probe_state(asio::io_context& loop, std::string id, probe_handlers used)
        : endpoint{std::move(id)}, handlers{std::move(used)}, timer{loop}
    {
    }

    std::string endpoint;
    probe_handlers handlers;
    asio::steady_timer timer;
    std::shared_ptr<client_connection> call;
    message_head head;
    bool has_ended = false; ///< the timer and the response may be due at the same time
};

void health_prober::probe(const endpoint_entry& endpoint, const std::string& path,
                          probe_handlers handlers) const
{
    const auto state =
        std::make_shared<probe_state>(m_dependencies.loop, endpoint.id, std::move(handlers));
    state->timer.expires_after(response_timeout);
    state->timer.async_wait([this, state](const asio::error_code& failure) {
        if (!failure && !state->has_ended) {
            state->call->cancel();
            m_dependencies.log.write(log_line{"endpoint_probed"}
                                         .add("endpoint", state->endpoint)
                                         .add("outcome", "no answer in time"));
            fail(*state, probe_failure::unanswered);
        }
    });
    state->call = m_dependencies.client.call(
        {.address = endpoint.address,
         .request_id = std::string{probe_id},
         .connect_timeout = connect_timeout},
        format_request("GET", path,
                       m_dependencies.adapter.to_health_headers(endpoint.address, endpoint.id), {}),
        {.on_head = [this, state](const message_head& head) { on_head(*state, head); },
         .on_body = [](std::string& bytes) { bytes.clear(); },
         .on_end = [this, state](call_end end) { on_response(*state, end); }});
}

void health_prober::on_head(probe_state& state, const message_head& head) const
{
    if (!m_dependencies.adapter.read_response_fields(head).id.empty()) {
        // a late copy of the response to a request, which says nothing of the present
        state.call->cancel();
        state.timer.cancel();
        m_dependencies.log.write(log_line{"endpoint_probed"}
                                     .add("endpoint", state.endpoint)
                                     .add("outcome", "response to a request"));
        finish(state);
        return;
    }
    state.head = head;
    const std::string_view instance = m_dependencies.adapter.read_health_fields(head).instance;
    if (state.handlers.on_head && (instance.empty() || instance == state.endpoint)) {
        state.handlers.on_head(head);
    }
}

void health_prober::on_response(probe_state& state, call_end end) const
{
    if (state.has_ended) {
        return;
    }
    state.timer.cancel();
    const health_fields fields = m_dependencies.adapter.read_health_fields(state.head);
    const bool is_from_endpoint = end == call_end::complete && state.head.status == status_ok &&
                                  fields.instance == state.endpoint;
    m_dependencies.log.write(log_line{"endpoint_probed"}
                                 .add("endpoint", state.endpoint)
                                 .add("outcome", to_name(end))
                                 .add("status", std::int64_t{state.head.status})
                                 .add_ms("cold_ms", fields.cold_remaining));
    if (end != call_end::complete) {
        fail(state, to_probe_failure(end));
        return;
    }
    if (!is_from_endpoint) {
        // it says nothing of whether it is cold
    }
    else if (fields.cold_remaining.count() == 0) {
        if (state.handlers.on_warm) {
            state.handlers.on_warm();
        }
    }
    else if (state.handlers.on_cold) {
        state.handlers.on_cold(fields.cold_remaining);
    }
    finish(state);
}

void health_prober::fail(probe_state& state, probe_failure why)
{
    if (state.handlers.on_failure) {
        state.handlers.on_failure(why);
    }
    finish(state, why);
}

void health_prober::finish(probe_state& state, std::optional<probe_failure> failure)
{
    state.has_ended = true;
    if (state.handlers.on_end) {
        state.handlers.on_end(failure);
    }
}

} // namespace hickorykeel::gateway
