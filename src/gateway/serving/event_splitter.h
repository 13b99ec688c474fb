#pragma once

#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <string>      // string
#include <string_view> // string_view

namespace hickorykeel::gateway {

/// Cuts a stream of server-sent events between events, so that only whole ones are passed on.
///
/// Thread safety: none.
class event_splitter {
public:
    /// Adds bytes of the stream; returns those up to the end of the last whole event.
    std::string take(std::string_view bytes);

    /// Drops a part of an event: the stream goes on elsewhere, behind the last whole one.
    void discard_partial() { m_partial.clear(); }
    [[nodiscard]] bool has_partial() const noexcept { return !m_partial.empty(); }

    /// Id of the last whole event; empty before the first.
    [[nodiscard]] const std::string& last_id() const noexcept { return m_last_id; }

    /// Whole events so far.
    [[nodiscard]] std::uint64_t events() const noexcept { return m_events; }

    /// Whether an event came whose id isn't above the one before.
    [[nodiscard]] bool is_out_of_order() const noexcept { return m_is_out_of_order; }

private:
    void record_event(std::string_view event);

    std::string m_partial;
    std::string m_last_id;
    std::uint64_t m_events = 0;
    bool m_is_out_of_order = false;
};

} // namespace hickorykeel::gateway
