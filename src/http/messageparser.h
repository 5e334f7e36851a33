#pragma once

#include "http/messagehead.h"

#include <memory>
#include <string>
#include <string_view>

namespace flamingo
{

/// Parses HTTP/1.1 messages with http_parser. It stops after each message and leaves the remaining bytes to the caller. All that the
/// system reads of HTTP goes through it, so it decides what a message is: bytes that http_parser lets pass although they are none are an
/// Error here.
class MessageParser
{
public:
    enum class Kind { Requests, Responses };
    enum class Event {
        NeedsMore, ///< All bytes were consumed and the message is incomplete.
        Head, ///< head() is available; feed the remaining bytes.
        Body, ///< body() holds the next bytes of the body; feed the remaining bytes.
        Complete, ///< The message is complete; the remaining bytes belong to the next one.
        Error, ///< The message is invalid; error() tells why.
    };

    explicit MessageParser(Kind kind);
    ~MessageParser();
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /// Consumes bytes from the front of the view up to the next event.
    Event feed(std::string_view &bytes);

    /// Called when the peer has closed the connection. Returns Complete if that ends the message, NeedsMore if no
    /// message had begun, and Error otherwise.
    Event finish();

    MessageHead &head();
    std::string_view body() const;
    const std::string &error() const;

    /// The number of bytes of the current head received so far.
    std::size_t headBytes() const;

    /// The memory that the current head takes up, at most.
    std::size_t heldBytes() const;

    /// Whether a message has begun and is incomplete.
    bool isInsideMessage() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace flamingo
