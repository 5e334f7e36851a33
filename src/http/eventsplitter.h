#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace flamingo
{

/// One complete server-sent event.
struct StreamEvent {
    std::string bytes; ///< The received bytes, including the blank line at the end.
    std::string id; ///< Empty when it has none.
    std::string data; ///< The values of the data lines, joined by line feeds.
};

/// Splits a stream of server-sent events into complete events, so that no partial event is forwarded.
class EventSplitter
{
public:
    /// Takes the next bytes and returns the events that they complete.
    std::vector<StreamEvent> feed(std::string_view bytes);

    /// Whether an event has begun and is incomplete. Blank lines and comments belong to no event.
    bool isInsideEvent() const;

    /// The bytes received so far after the last complete event.
    const std::string &incompleteEvent() const;

private:
    std::string m_buffer;
};

} // namespace flamingo
