#include "gateway/http/body_buffer.h"

#include <utility> // exchange, move

namespace hickorykeel::gateway {

namespace {

/// Size up to which short pieces are gathered in one.
constexpr std::size_t piece_bytes = 16'384;

} // namespace

body_buffer::append_result body_buffer::append(std::string bytes)
{
    if (m_size + bytes.size() > m_max_bytes) {
        return append_result::too_large;
    }
    const bool extends_last =
        !m_pieces.empty() && m_pieces.back().size() + bytes.size() <= piece_bytes;
    // a text that grows may double its capacity
    const std::size_t charged =
        m_charge.size() + (extends_last ? 2 * bytes.size() : bytes.capacity());
    if (!m_charge.try_resize(charged)) {
        return append_result::out_of_memory;
    }
    m_size += bytes.size();
    if (extends_last) {
        m_pieces.back() += bytes;
    }
    else {
        m_pieces.push_back(std::move(bytes));
    }
    return append_result::appended;
}

std::string body_buffer::take_text()
{
    std::string text;
    text.reserve(m_size);
    for (const std::string& piece : take_pieces()) {
        text += piece;
    }
    return text;
}

std::vector<std::string> body_buffer::take_pieces()
{
    m_size = 0;
    m_charge.resize(0);
    return std::exchange(m_pieces, {});
}

} // namespace hickorykeel::gateway
