#include "gateway/serving/health_prober.h"

#include <chrono>  // milliseconds
#include <utility> // exchange, move

#include <asio/steady_timer.hpp> // steady_timer

namespace hickorykeel::gateway {

namespace {

/// An endpoint that takes longer is no better known than before.
constexpr duration answer_timeout = std::chrono::milliseconds{600};
constexpr duration connect_timeout = std::chrono::milliseconds{300};
constexpr int status_ok = 200;

} // namespace

struct health_prober::question {
    question(asio::io_context& loop, std::string id, std::function<void()> handler)
        : endpoint{std::move(id)}, on_warm{std::move(handler)}, timer{loop}
    {
    }

    std::string endpoint;
    std::function<void()> on_warm;
    asio::steady_timer timer;
    std::shared_ptr<client_connection> call;
    message_head head;
};

void health_prober::ask(const endpoint_entry& endpoint, const std::string& path,
                        std::function<void()> on_warm) const
{
    const auto asked = std::make_shared<question>(m_with.loop, endpoint.id, std::move(on_warm));
    asked->timer.expires_after(answer_timeout);
    asked->timer.async_wait([this, asked](const asio::error_code& failure) {
        if (!failure) {
            asked->call->cancel();
            m_with.log.write(log_line{"endpoint_probed"}
                                 .add("endpoint", asked->endpoint)
                                 .add("outcome", "no answer in time"));
        }
    });
    asked->call = m_with.client.call(
        {.address = endpoint.address, .connect_timeout = connect_timeout},
        format_request("GET", path, m_with.adapter.to_health_headers(endpoint.address, endpoint.id),
                       {}),
        {.on_head = [asked](const message_head& head) { asked->head = head; },
         .on_body = [](std::string& bytes) { bytes.clear(); },
         .on_end = [this, asked](call_end end) { on_answer(*asked, end); }});
}

void health_prober::on_answer(question& asked, call_end end) const
{
    asked.timer.cancel();
    const health_fields fields = m_with.adapter.read_health_fields(asked.head);
    const bool is_its_own = end == call_end::complete && asked.head.status == status_ok &&
                            fields.instance == asked.endpoint;
    m_with.log.write(log_line{"endpoint_probed"}
                         .add("endpoint", asked.endpoint)
                         .add("outcome", to_name(end))
                         .add("status", std::int64_t{asked.head.status})
                         .add_ms("cold_ms", fields.cold_remaining));
    if (is_its_own && fields.cold_remaining.count() == 0) {
        asked.on_warm();
    }
}

} // namespace hickorykeel::gateway
