#pragma once

#include "connection/messenger.h"

#include <cstdint> // uint32_t, uint64_t
#include <mutex>   // mutex
#include <string>  // string
#include <utility> // move

namespace hickorykeel {

/// Sends the events of one request back to the entry process that asked, numbered in order.
///
/// Thread safety: all methods may be called from any thread.
class event_sender {
public:
    event_sender(messenger& links, std::string route, std::uint64_t correlation)
        : m_links(links), m_route(std::move(route)), m_correlation(correlation)
    {
    }

    /// Sends `event` as the next in order; its sequence is filled in.
    void send(link::dispatch_event event)
    {
        const std::lock_guard lock(m_mutex);
        event.set_sequence(m_sequence++);
        answer(std::move(event));
    }

    /// Says that the request is alive and how many events went before, so that the entry process
    /// notices a lost one.
    void send_keepalive()
    {
        const std::lock_guard lock(m_mutex);
        link::dispatch_event event;
        event.set_kind(link::dispatch_event::kind_accepted);
        event.set_sequence(m_sequence);
        answer(std::move(event));
    }

private:
    // the queue of the messenger is entered under the lock, so that the order holds
    void answer(link::dispatch_event event)
    {
        link::envelope message;
        message.set_correlation(m_correlation);
        *message.mutable_dispatch_event() = std::move(event);
        m_links.answer(m_route, std::move(message));
    }

    messenger& m_links;
    const std::string m_route;
    const std::uint64_t m_correlation;
    std::mutex m_mutex;
    std::uint32_t m_sequence = 0;
};

} // namespace hickorykeel
