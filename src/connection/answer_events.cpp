#include "connection/answer_events.h"

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

answer_events::answer_events(event_sender& to, std::string endpoint, bool is_taken_whole)
    : m_to(to), m_endpoint(std::move(endpoint)), m_is_taken_whole(is_taken_whole)
{
}

void answer_events::on_head(int status, const std::vector<link::header>& headers)
{
    link::dispatch_event event;
    event.set_kind(link::dispatch_event::kind_head);
    event.set_status(static_cast<std::uint32_t>(status));
    event.set_endpoint(m_endpoint);
    for (const link::header& header : headers) {
        *event.add_headers() = header;
    }
    if (m_is_taken_whole) {
        m_held = std::move(event);
    }
    else {
        m_to.send(std::move(event));
    }
}

void answer_events::on_data(std::string_view bytes)
{
    if (m_held && m_held->data().size() + bytes.size() <= maximum_held_bytes) {
        m_held->mutable_data()->append(bytes);
        return;
    }
    flush();
    m_to.send(detail::to_data(std::string(bytes)));
}

void answer_events::on_end(std::uint64_t used_tokens)
{
    link::dispatch_event event;
    if (m_held) {
        event = std::move(*m_held);
        m_held.reset();
    }
    event.set_kind(link::dispatch_event::kind_end);
    event.set_endpoint(m_endpoint);
    event.set_used_tokens(used_tokens);
    m_to.send(std::move(event));
}

void answer_events::flush()
{
    if (!m_held) {
        return;
    }
    link::dispatch_event head = std::move(*m_held);
    m_held.reset();
    std::string bytes = std::move(*head.mutable_data());
    head.clear_data();
    m_to.send(std::move(head));
    if (!bytes.empty()) {
        m_to.send(detail::to_data(std::move(bytes)));
    }
}

} // namespace hickorykeel
