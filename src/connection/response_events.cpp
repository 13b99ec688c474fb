#include "connection/response_events.h"

#include <utility> // move

namespace hickorykeel {

namespace detail {
namespace {

link::dispatch_event to_data(std::string bytes)
{
    link::dispatch_event event;
    event.set_kind(link::dispatch_event::kind_data);
    event.set_data(std::move(bytes));
    return event;
}

} // namespace
} // namespace detail

response_events::response_events(event_sender& to, std::string endpoint, bool is_buffering)
    : m_to(to), m_endpoint(std::move(endpoint)), m_is_buffering(is_buffering)
{
}

void response_events::on_head(int status, const std::vector<link::header>& headers)
{
    link::dispatch_event event;
    event.set_kind(link::dispatch_event::kind_head);
    event.set_status(static_cast<std::uint32_t>(status));
    event.set_endpoint(m_endpoint);
    for (const link::header& header : headers) {
        *event.add_headers() = header;
    }
    if (m_is_buffering) {
        m_buffered = std::move(event);
    }
    else {
        m_to.send(std::move(event));
    }
}

void response_events::on_data(std::string_view bytes)
{
    if (m_buffered && m_buffered->data().size() + bytes.size() <= maximum_buffered_bytes) {
        m_buffered->mutable_data()->append(bytes);
        return;
    }
    flush();
    m_to.send(detail::to_data(std::string(bytes)));
}

void response_events::on_end(std::uint64_t used_tokens)
{
    link::dispatch_event event;
    if (m_buffered) {
        event = std::move(*m_buffered);
        m_buffered.reset();
    }
    event.set_kind(link::dispatch_event::kind_end);
    event.set_endpoint(m_endpoint);
    event.set_used_tokens(used_tokens);
    m_to.send(std::move(event));
}

void response_events::flush()
{
    if (!m_buffered) {
        return;
    }
    link::dispatch_event head = std::move(*m_buffered);
    m_buffered.reset();
    std::string bytes = std::move(*head.mutable_data());
    head.clear_data();
    m_to.send(std::move(head));
    if (!bytes.empty()) {
        m_to.send(detail::to_data(std::move(bytes)));
    }
}

} // namespace hickorykeel
