#include "instance/callerstream.h"

#include "platform/headercodec.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace flamingo
{

namespace
{
/// A caller that leaves more bytes of its stream unread is disconnected.
constexpr std::size_t MaxUnsentBytes = std::size_t(4) * 1024 * 1024;

/// Whether an event comes after the last one; ids that aren't numbers can't be compared, so their order of arrival counts.
bool isLaterEvent(const std::string &eventId, const std::string &lastEventId)
{
    const auto isNumber = [](const std::string &text) {
        return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
    };
    if (!isNumber(eventId) || !isNumber(lastEventId)) {
        return true;
    }
    return eventId.size() != lastEventId.size() ? eventId.size() > lastEventId.size() : eventId > lastEventId;
}
} // namespace

CallerStream::CallerStream(BufferQuota &quota)
    : m_outputBytes(quota)
{
}

void CallerStream::setKeepsOutput()
{
    m_keepsOutput = true;
}

void CallerStream::start(ServerConnection &connection, const MessageHead &head)
{
    constexpr long long UnknownLength = -1;
    m_hasStarted = true;
    connection.startStream(head.status, platform::encodeResponseFields(head), UnknownLength);
}

bool CallerStream::forward(ServerConnection &connection, const MessageHead &head, const std::vector<StreamEvent> &events)
{
    for (const StreamEvent &event : events) {
        if (!m_lastEventId.empty() && !isLaterEvent(event.id, m_lastEventId)) {
            continue;
        }
        if (!m_hasStarted) {
            start(connection, head);
        }
        if (!forwardEvent(connection, event)) {
            return false;
        }
    }
    return true;
}

bool CallerStream::forwardEvent(ServerConnection &connection, const StreamEvent &event)
{
    const bool isOutputTooLong = m_keepsOutput && !m_outputBytes.tryAdd(event.data.size() + 1);
    if (isOutputTooLong || connection.unsentBytes() > MaxUnsentBytes) {
        return false;
    }
    ++m_forwardedEvents;
    if (!event.id.empty()) {
        m_lastEventId = event.id;
    }
    if (m_keepsOutput) {
        m_output += event.data;
        m_output += '\n';
    }
    connection.write(event.bytes);
    return true;
}

bool CallerStream::hasStarted() const
{
    return m_hasStarted;
}

int CallerStream::forwardedEvents() const
{
    return m_forwardedEvents;
}

const std::string &CallerStream::lastEventId() const
{
    return m_lastEventId;
}

std::string CallerStream::takeOutput()
{
    return std::exchange(m_output, {});
}

} // namespace flamingo
