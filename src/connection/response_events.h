#pragma once

#include "connection/event_sender.h"
#include "generated/link.pb.h"

#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace hickorykeel {

/// Sends an endpoint's response as events: its head, its data as they arrive, its end. For a
/// receiver that accepts short responses as a single event, the response is buffered and sent at
/// its end, which costs one message and one wake-up instead of three; a response that exceeds the
/// buffer is sent as it arrives.
///
/// Thread safety: none.
class response_events {
public:
    /// Size of the longest body that is buffered.
    static constexpr std::size_t maximum_buffered_bytes = 64U << 10U;

    /// @param to  must outlive this object
    /// @param is_buffering  whether the receiver accepts short responses as a single event
    response_events(event_sender& to, std::string endpoint, bool is_buffering);

    void on_head(int status, const std::vector<link::header>& headers);

    /// Precondition: `on_head` was called.
    void on_data(std::string_view bytes);

    /// The response is complete. Precondition: `on_head` was called.
    /// @param used_tokens  as reported by the endpoint; 0: not reported
    void on_end(std::uint64_t used_tokens);

    /// Sends the buffered part; the rest is sent as it arrives.
    void flush();

private:
    event_sender& m_to;
    const std::string m_endpoint;
    const bool m_is_buffering;
    std::optional<link::dispatch_event> m_buffered; // head and body so far
};

} // namespace hickorykeel
