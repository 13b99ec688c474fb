#include "gateway/serving/event_splitter.h"

#include <algorithm> // all_of, min
#include <charconv>  // from_chars
#include <cstddef>   // ptrdiff_t
#include <utility>   // move

namespace hickorykeel::gateway {

namespace {

/// Returns the number with which `id` starts, or 0 if there is none.
std::uint64_t to_number(std::string_view id) noexcept
{
    std::uint64_t number = 0;
    std::from_chars(id.data(), id.data() + id.size(), number);
    return number;
}

/// Returns the position after the first empty line whose preceding line feed is at or after `from`,
/// or npos if there is none.
std::size_t find_event_end(std::string_view text, std::size_t from) noexcept
{
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        if (at + 1 < text.size() && text[at + 1] == '\n') {
            return at + 2;
        }
        if (at + 2 < text.size() && text[at + 1] == '\r' && text[at + 2] == '\n') {
            return at + 3;
        }
    }
    return std::string_view::npos;
}

bool is_name_character(char c) noexcept
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-';
}

/// Whether `line`, without its line end, is a field or a comment. A carriage return inside it would
/// be a line end to other readers.
bool is_well_formed(std::string_view line) noexcept
{
    const std::size_t colon = line.find(':');
    return colon != std::string_view::npos && line.find('\r') == std::string_view::npos &&
           std::all_of(line.begin(), line.begin() + static_cast<std::ptrdiff_t>(colon),
                       is_name_character);
}

/// Removes the first line, with its line end, from `text` and returns it without its line end.
std::string_view take_line(std::string_view& text) noexcept
{
    const std::size_t end = text.find('\n');
    std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    return line;
}

} // namespace

std::string event_splitter::take(std::string_view bytes)
{
    if (m_fault != fault::none) {
        return {};
    }
    // the empty line may start in the last bytes of the previous chunk
    const std::size_t scanned = m_partial.size() < 3 ? 0 : m_partial.size() - 3;
    m_partial += bytes;
    std::size_t complete_size = 0;
    std::size_t end = find_event_end(m_partial, scanned);
    while (end != std::string::npos) {
        m_fault =
            record_event(std::string_view{m_partial}.substr(complete_size, end - complete_size));
        if (m_fault != fault::none) {
            break;
        }
        complete_size = end;
        end = find_event_end(m_partial, complete_size);
    }
    std::string events = m_partial.substr(0, complete_size);
    m_partial.erase(0, complete_size);
    if (m_fault == fault::none) {
        charge_partial();
    }
    return events;
}

/// Charges the incomplete event, and sets a fault if it is too large or not admitted.
void event_splitter::charge_partial()
{
    if (m_partial.empty() && m_partial.capacity() > memory_budget::max_small_bytes) {
        release(m_partial);
    }
    if (m_partial.size() > max_event_bytes) {
        m_fault = fault::too_large;
    }
    else if (!m_charge.try_resize(m_partial.capacity())) {
        m_fault = fault::out_of_memory;
    }
}

void event_splitter::discard_partial()
{
    release(m_partial);
    m_charge.resize(0);
    m_fault = fault::none;
}

/// Counts a sound event and takes over its id. Returns the fault of a faulty one.
event_splitter::fault event_splitter::record_event(std::string_view event)
{
    std::string last_id = m_last_id;
    // the event ends with an empty line; another one would precede it
    for (std::string_view line = take_line(event); !event.empty(); line = take_line(event)) {
        if (!is_well_formed(line)) {
            return fault::malformed;
        }
        if (!line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(3);
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        if (!last_id.empty() && to_number(line) <= to_number(last_id)) {
            return fault::out_of_order;
        }
        last_id = line;
    }
    m_last_id = std::move(last_id);
    ++m_events;
    return fault::none;
}

} // namespace hickorykeel::gateway
