#pragma once

#include "connection/messenger.h"

#include <cstdint> // uint32_t, uint64_t
#include <mutex>   // mutex
#include <string>  // string
#include <utility> // move

namespace hickorykeel {

/// Sends the events of one request to the entry process that it came from, numbered in order.
///
/// Thread safety: all methods may be called from any thread.
class event_sender {
public:
    event_sender(messenger& links, std::string route, std::uint64_t correlation)
        : m_links(links), m_route(std::move(route)), m_correlation(correlation)
    {
    }

    /// Sends `event` as the next one; sets its sequence number.
    void send(link::dispatch_event event)
    {
        const std::lock_guard lock(m_mutex);
        event.set_sequence(m_sequence++);
        send_reply(std::move(event));
    }

    /// Sends a keep-alive with the number of events sent so far, by which the entry process detects a
    /// lost event.
    void send_keepalive()
    {
        const std::lock_guard lock(m_mutex);
        link::dispatch_event event;
        event.set_kind(link::dispatch_event::kind_accepted);
        event.set_sequence(m_sequence);
        send_reply(std::move(event));
    }

private:
    // precondition: the lock is held, so that events are queued in order
    void send_reply(link::dispatch_event event)
    {
        link::envelope message;
        message.set_correlation(m_correlation);
        *message.mutable_dispatch_event() = std::move(event);
        m_links.send_reply(m_route, std::move(message));
    }

    messenger& m_links;
    const std::string m_route;
    const std::uint64_t m_correlation;
    std::mutex m_mutex;
    std::uint32_t m_sequence = 0;
};

} // namespace hickorykeel
