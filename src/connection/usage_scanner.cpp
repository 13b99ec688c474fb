#include "connection/usage_scanner.h"

#include <algorithm> // min
#include <charconv>  // from_chars

namespace hickorykeel {
namespace detail {

constexpr std::size_t tail_bytes = 2048;
constexpr std::string_view total_member = "\"total_tokens\":";
constexpr std::string_view done_event = "data: [DONE]";

} // namespace detail

void usage_scanner::append(std::string_view bytes)
{
    m_tail.append(bytes.substr(bytes.size() - std::min(bytes.size(), detail::tail_bytes)));
    if (m_tail.size() > detail::tail_bytes) {
        m_tail.erase(0, m_tail.size() - detail::tail_bytes);
    }
}

std::uint64_t usage_scanner::used_tokens() const
{
    const std::size_t found = m_tail.rfind(detail::total_member);
    if (found == std::string::npos) {
        return 0;
    }
    const std::size_t begin = m_tail.find_first_not_of(" \t", found + detail::total_member.size());
    std::uint64_t total = 0;
    if (begin != std::string::npos) {
        std::from_chars(m_tail.data() + begin, m_tail.data() + m_tail.size(), total);
    }
    return total;
}

bool usage_scanner::is_done() const
{
    const std::size_t found = m_tail.rfind(detail::done_event);
    // the same text inside a truncated line may have been written by the model
    return found != std::string::npos && is_line_start(found) &&
           m_tail.find_first_not_of("\r\n", found + detail::done_event.size()) == std::string::npos;
}

bool usage_scanner::is_line_start(std::size_t offset) const
{
    if (offset == 0) {
        return m_tail.size() < detail::tail_bytes;
    }
    return m_tail[offset - 1] == '\n' || m_tail[offset - 1] == '\r';
}

} // namespace hickorykeel
