#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace flamingo
{

/// One whole server-sent event.
struct StreamEvent {
    std::string bytes; ///< As it came, with its blank line.
    std::string id; ///< Empty when it has none.
    std::string data; ///< Its data lines, joined by line feeds.
};

/// Cuts a stream of server-sent events into whole events, so that no part of one is passed on.
class EventSplitter
{
public:
    /// Takes the next bytes and returns the events that are now whole.
    std::vector<StreamEvent> feed(std::string_view bytes);

    /// Bytes of an event that isn't whole.
    const std::string &incompleteEvent() const;

private:
    std::string m_buffer;
};

} // namespace flamingo
