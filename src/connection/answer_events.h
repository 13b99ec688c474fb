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

/// Passes an endpoint's answer on as events: its head, its data as they come, its end. For a
/// receiver that takes short answers whole, all of it waits for the end and goes as one event,
/// which costs one message and one wake-up on the way instead of three; an answer that grows
/// longer is passed on as it comes.
///
/// Thread safety: none.
class answer_events {
public:
    /// Bytes of the longest body that is held back.
    static constexpr std::size_t maximum_held_bytes = 64U << 10U;

    /// @param to  outlives this object
    answer_events(event_sender& to, std::string endpoint, bool is_taken_whole);

    void on_head(int status, const std::vector<link::header>& headers);

    /// Precondition: `on_head` was called.
    void on_data(std::string_view bytes);

    /// The answer is whole. Precondition: `on_head` was called.
    /// @param used_tokens  as the endpoint reported; 0: it did not
    void on_end(std::uint64_t used_tokens);

    /// Passes on what is held back; the rest goes as it comes.
    void flush();

private:
    event_sender& m_to;
    const std::string m_endpoint;
    const bool m_is_taken_whole;
    std::optional<link::dispatch_event> m_held; // head and body so far
};

} // namespace hickorykeel
