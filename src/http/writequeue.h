#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace flamingo
{

/// The bytes that wait to be written to a connection. Short ones are joined, since each piece costs memory of its own.
class WriteQueue
{
public:
    void push(std::string bytes);

    /// The bytes to write next; empty if there are none. They stay valid until they are removed or the queue is cleared.
    std::string_view front() const;

    /// Removes bytes that have been written from the front.
    void removeWritten(std::size_t bytes);

    bool isEmpty() const;

    /// The number of bytes that wait.
    std::size_t size() const;

    /// The memory that the queue takes up.
    std::size_t heldBytes() const;

private:
    static std::size_t heldBytes(const std::string &piece);

    std::deque<std::string> m_pieces;
    std::size_t m_writtenOfFirst = 0;
    std::size_t m_size = 0;
    std::size_t m_heldBytes = 0;
};

} // namespace flamingo
