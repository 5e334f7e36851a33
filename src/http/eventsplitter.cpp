#include "http/eventsplitter.h"

#include <algorithm>

namespace flamingo
{

namespace
{
/// The position after the blank line that ends the first event of the text; npos when the event is incomplete.
std::size_t eventEnd(std::string_view text)
{
    std::size_t end = std::string_view::npos;
    // Lines may end with LF, CRLF or CR.
    for (const std::string_view separator : {"\n\n", "\n\r\n", "\r\r"}) {
        const auto at = text.substr(0, end).find(separator);
        end = at == std::string_view::npos ? end : at + separator.size();
    }
    return end;
}

bool isBlankOrComment(std::string_view line)
{
    return line.empty() || line.front() == ':';
}

std::string_view fieldValue(std::string_view line, std::size_t nameSize)
{
    line.remove_prefix(nameSize + 1);
    if (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
    }
    return line;
}

/// Removes the first line from the text and returns it without its end. A CRLF leaves an empty line, which has no meaning here.
std::string_view takeLine(std::string_view &text)
{
    const auto end = std::min(text.find_first_of("\r\n"), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return line;
}

StreamEvent parseEvent(std::string_view text)
{
    StreamEvent event;
    event.bytes = std::string(text);
    bool hasData = false;
    while (!text.empty()) {
        const std::string_view line = takeLine(text);
        if (line.rfind("id:", 0) == 0) {
            event.id = std::string(fieldValue(line, 2));
        } else if (line.rfind("data:", 0) == 0) {
            event.data += hasData ? "\n" : "";
            event.data += fieldValue(line, 4);
            hasData = true;
        }
    }
    return event;
}
} // namespace

std::vector<StreamEvent> EventSplitter::feed(std::string_view bytes)
{
    m_buffer += bytes;
    std::vector<StreamEvent> events;
    std::size_t begin = 0;
    for (;;) {
        const std::string_view text = std::string_view(m_buffer).substr(begin);
        const std::size_t end = eventEnd(text);
        if (end == std::string_view::npos) {
            break;
        }
        events.push_back(parseEvent(text.substr(0, end)));
        begin += end;
    }
    m_buffer.erase(0, begin);
    return events;
}

bool EventSplitter::isInsideEvent() const
{
    std::string_view text = m_buffer;
    while (!text.empty()) {
        if (!isBlankOrComment(takeLine(text))) {
            return true;
        }
    }
    return false;
}

const std::string &EventSplitter::incompleteEvent() const
{
    return m_buffer;
}

} // namespace flamingo
