#include "gateway/http/bounded_call.h"

#include <utility> // exchange, move

namespace hickorykeel::gateway {

void bounded_call::start(const bounded_call_options& options, const std::string& target,
                         handler on_end)
{
    m_on_end = std::move(on_end);
    m_body = body_buffer{{.max_bytes = options.max_bytes}};
    const auto self = shared_from_this();
    m_timer.expires_after(options.timeout);
    m_timer.async_wait([self](const asio::error_code& failure) {
        if (!failure) {
            self->give_up({"no complete response within the timeout"});
        }
    });
    header_list headers;
    headers.add("Host", options.address);
    m_connection =
        m_client.call({.address = options.address, .connect_timeout = options.connect_timeout},
                      format_request("GET", target, headers, {}),
                      {.on_head = [self](const message_head& head) { self->m_head = head; },
                       .on_body = [self](std::string& bytes) { self->on_body(bytes); },
                       .on_end = [self](call_end end) { self->on_end(end); }});
}

void bounded_call::cancel()
{
    m_timer.cancel();
    m_on_end = nullptr;
    m_connection->cancel();
}

void bounded_call::on_body(std::string& bytes)
{
    using append_result = body_buffer::append_result;
    if (m_body.append(std::exchange(bytes, {})) != append_result::appended) {
        give_up({"response too large", true});
    }
}

void bounded_call::on_end(call_end end)
{
    if (end != call_end::complete) {
        finish(bounded_call_failure{std::string{to_name(end)}});
        return;
    }
    finish(whole_response{std::move(m_head), m_body.take_text()});
}

/// Ends a call whose response is still due.
void bounded_call::give_up(bounded_call_failure failure)
{
    m_connection->cancel();
    finish(std::move(failure));
}

void bounded_call::finish(std::variant<whole_response, bounded_call_failure> outcome)
{
    m_timer.cancel();
    if (const handler on_end = std::exchange(m_on_end, nullptr)) {
        on_end(std::move(outcome));
    }
}

} // namespace hickorykeel::gateway
