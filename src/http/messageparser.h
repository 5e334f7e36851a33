#pragma once

#include "http/messagehead.h"

#include <memory>
#include <string>
#include <string_view>

namespace flamingo
{

/// Cuts a byte stream into HTTP/1.1 messages, by http_parser. It stops after each message, so that bytes behind it stay
/// with the caller.
class MessageParser
{
public:
    enum class Kind { Requests, Responses };
    enum class Event {
        NeedsMore, ///< All bytes were taken and the message isn't complete.
        Head, ///< head() is there; go on feeding the rest.
        Body, ///< body() holds the next bytes of the body; go on feeding the rest.
        Complete, ///< The message has ended; what is left belongs to the next one.
        Error, ///< The bytes are no message; error() tells why.
    };

    explicit MessageParser(Kind kind);
    ~MessageParser();
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /// Takes bytes from the front of the view up to the next event.
    Event feed(std::string_view &bytes);

    /// The peer has closed: Complete when the message ended with that, else Error or NeedsMore (nothing had begun).
    Event finish();

    MessageHead &head();
    std::string_view body() const;
    const std::string &error() const;

    /// Bytes of the current head so far.
    std::size_t headBytes() const;

    /// Whether a message has begun and isn't complete.
    bool isInsideMessage() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace flamingo
