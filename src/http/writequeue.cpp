#include "http/writequeue.h"

#include <algorithm>
#include <utility>

namespace flamingo
{

namespace
{
constexpr std::size_t MaxJoinedBytes = 16384;
} // namespace

std::size_t WriteQueue::heldBytes(const std::string &piece)
{
    return piece.capacity() + sizeof(std::string);
}

// The first piece may be in the middle of being written, so nothing is appended to it.
void WriteQueue::push(std::string bytes)
{
    if (bytes.empty()) {
        return;
    }
    m_size += bytes.size();
    if (m_pieces.size() > 1 && m_pieces.back().size() + bytes.size() <= MaxJoinedBytes) {
        m_heldBytes -= heldBytes(m_pieces.back());
        m_pieces.back() += bytes;
    } else {
        m_pieces.push_back(std::move(bytes));
    }
    m_heldBytes += heldBytes(m_pieces.back());
}

std::string_view WriteQueue::front() const
{
    return m_pieces.empty() ? std::string_view() : std::string_view(m_pieces.front()).substr(m_writtenOfFirst);
}

void WriteQueue::removeWritten(std::size_t bytes)
{
    bytes = std::min(bytes, front().size());
    m_size -= bytes;
    m_writtenOfFirst += bytes;
    if (!m_pieces.empty() && m_writtenOfFirst == m_pieces.front().size()) {
        m_heldBytes -= heldBytes(m_pieces.front());
        m_pieces.pop_front();
        m_writtenOfFirst = 0;
    }
}

bool WriteQueue::isEmpty() const
{
    return m_pieces.empty();
}

std::size_t WriteQueue::size() const
{
    return m_size;
}

std::size_t WriteQueue::heldBytes() const
{
    return m_heldBytes;
}

} // namespace flamingo
