#include "gateway/serving/event_splitter.h"

#include <charconv> // from_chars
#include <utility>  // move

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

} // namespace

std::string event_splitter::take(std::string_view bytes)
{
    // the empty line may start in the last bytes of the previous chunk
    const std::size_t scanned = m_partial.size() < 3 ? 0 : m_partial.size() - 3;
    m_partial += bytes;
    std::size_t complete_size = 0;
    std::size_t end = find_event_end(m_partial, scanned);
    while (end != std::string::npos) {
        record_event(std::string_view{m_partial}.substr(complete_size, end - complete_size));
        complete_size = end;
        end = find_event_end(m_partial, complete_size);
    }
    std::string events = m_partial.substr(0, complete_size);
    m_partial.erase(0, complete_size);
    return events;
}

void event_splitter::record_event(std::string_view event)
{
    ++m_events;
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        if (line.starts_with("id:")) {
            line.remove_prefix(3);
            while (!line.empty() && (line.front() == ' ' || line.back() == '\r')) {
                line.front() == ' ' ? line.remove_prefix(1) : line.remove_suffix(1);
            }
            m_is_out_of_order = m_is_out_of_order ||
                                (!m_last_id.empty() && to_number(line) <= to_number(m_last_id));
            m_last_id = line;
        }
        event = end == std::string_view::npos ? std::string_view{} : event.substr(end + 1);
    }
}

} // namespace hickorykeel::gateway
