#pragma once

#include "gateway/limits/memory_budget.h"

#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <memory>      // shared_ptr
#include <string>      // string
#include <string_view> // string_view
#include <utility>     // move

namespace hickorykeel::gateway {

/// Splits a stream of server-sent events at event boundaries, so that only complete and well-formed
/// events are relayed.
///
/// An event is well-formed if each of its lines is a field, `name:value` with a name of letters,
/// digits and '-', or a comment, which begins with ':', and there is one at least.
///
/// Thread safety: none.
class event_splitter {
public:
    /// Maximum size of an event, so that one without an end is a fault.
    static constexpr std::size_t max_event_bytes = 4'194'304;

    event_splitter() = default;

    /// Charges the incomplete event to `budget`.
    explicit event_splitter(std::shared_ptr<memory_budget> budget) : m_charge{std::move(budget)} {}

    /// Appends `bytes` of the stream and returns the bytes of all events that are complete by now
    /// and have not been returned before. A faulty event, malformed, out of order, too large or not
    /// admitted by the budget, and all bytes after it are not returned.
    std::string take(std::string_view bytes);

    /// Discards an incomplete or faulty event and what follows it, before the stream is resumed at
    /// another endpoint after the last event returned.
    void discard_partial();
    [[nodiscard]] bool has_partial() const noexcept { return !m_partial.empty(); }

    /// Returns the last event id read from a returned event; empty before the first.
    [[nodiscard]] const std::string& last_id() const noexcept { return m_last_id; }

    /// Returns the number of events returned so far.
    [[nodiscard]] std::uint64_t events() const noexcept { return m_events; }

    /// Returns whether an event wasn't well-formed.
    [[nodiscard]] bool is_malformed() const noexcept { return m_fault == fault::malformed; }

    /// Returns whether an event had an id that isn't greater than the previous id. Ids are compared
    /// by their leading number, 0 if there is none.
    [[nodiscard]] bool is_out_of_order() const noexcept { return m_fault == fault::out_of_order; }

    /// Returns whether an event exceeded `max_event_bytes`.
    [[nodiscard]] bool is_too_large() const noexcept { return m_fault == fault::too_large; }

    /// Returns whether the budget did not admit an event.
    [[nodiscard]] bool is_out_of_memory() const noexcept { return m_fault == fault::out_of_memory; }

private:
    enum class fault { none, malformed, out_of_order, too_large, out_of_memory };

    [[nodiscard]] fault record_event(std::string_view event);
    void charge_partial();

    std::string m_partial;
    memory_charge m_charge;
    std::string m_last_id;
    std::uint64_t m_events = 0;
    fault m_fault = fault::none;
};

} // namespace hickorykeel::gateway
