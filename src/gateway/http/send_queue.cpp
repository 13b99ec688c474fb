#include "gateway/http/send_queue.h"

#include <utility> // move

namespace hickorykeel::gateway {

namespace {

/// Size up to which short writes are gathered in one piece.
constexpr std::size_t piece_bytes = 65'536;

} // namespace

void send_queue::append(std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    const bool extends_last = !m_pieces.empty() && m_pieces.back().shared == nullptr &&
                              m_pieces.back().owned.size() + bytes.size() <= piece_bytes;
    if (!extends_last) {
        m_pieces.emplace_back();
    }
    std::string& last = m_pieces.back().owned;
    const std::size_t before = extends_last ? last.capacity() : 0;
    last += bytes;
    m_size += bytes.size();
    m_charge.resize(m_charge.size() - before + last.capacity());
}

void send_queue::append(shared_bytes bytes, std::size_t offset)
{
    if (bytes->size() > offset) {
        m_size += bytes->size() - offset;
        m_pieces.push_back({{}, std::move(bytes), offset});
    }
}

void send_queue::pop(std::size_t count)
{
    piece& first = m_pieces.front();
    first.at += count;
    m_size -= count;
    if (first.at == first.bytes().size()) {
        if (first.shared == nullptr) {
            m_charge.resize(m_charge.size() - first.owned.capacity());
        }
        m_pieces.pop_front();
    }
}

void send_queue::clear()
{
    m_pieces.clear();
    m_size = 0;
    m_charge.resize(0);
}

std::string_view send_queue::front() const
{
    const piece& first = m_pieces.front();
    return std::string_view{first.bytes()}.substr(first.at);
}

} // namespace hickorykeel::gateway
