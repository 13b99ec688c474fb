#pragma once

#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <string>      // string
#include <string_view> // string_view

namespace hickorykeel::gateway {

/// Splits a stream of server-sent events at event boundaries, so that only complete events are
/// relayed.
///
/// Thread safety: none.
class event_splitter {
public:
    /// Appends `bytes` of the stream and returns the bytes of all events that are complete by now
    /// and have not been returned before.
    std::string take(std::string_view bytes);

    /// Discards an incomplete event, before the stream is resumed at another endpoint after the
    /// last complete event.
    void discard_partial() { m_partial.clear(); }
    [[nodiscard]] bool has_partial() const noexcept { return !m_partial.empty(); }

    /// Returns the last event id read from a complete event; empty before the first.
    [[nodiscard]] const std::string& last_id() const noexcept { return m_last_id; }

    /// Returns the number of complete events so far.
    [[nodiscard]] std::uint64_t events() const noexcept { return m_events; }

    /// Returns whether an event had an id that isn't greater than the previous id. Ids are compared
    /// by their leading number, 0 if there is none.
    [[nodiscard]] bool is_out_of_order() const noexcept { return m_is_out_of_order; }

private:
    void record_event(std::string_view event);

    std::string m_partial;
    std::string m_last_id;
    std::uint64_t m_events = 0;
    bool m_is_out_of_order = false;
};

} // namespace hickorykeel::gateway
