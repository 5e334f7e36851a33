#include "instance/callerstream.h"

#include "platform/headercodec.h"

#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

namespace flamingo
{

namespace
{
/// A caller that leaves more bytes of its stream unread is disconnected.
constexpr std::size_t MaxUnsentBytes = std::size_t(4) * 1024 * 1024;

std::optional<std::uint64_t> eventNumber(const std::string &id)
{
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(id.data(), id.data() + id.size(), number);
    return !id.empty() && ec == std::errc() && end == id.data() + id.size() ? std::optional<std::uint64_t>(number) : std::nullopt;
}

/// Whether an event comes after the last one; ids that aren't numbers can't be compared, so their order of arrival counts.
bool isLaterEvent(const std::string &eventId, const std::string &lastEventId)
{
    const auto number = eventNumber(eventId);
    const auto lastNumber = eventNumber(lastEventId);
    return !number || !lastNumber || *number > *lastNumber;
}

bool isNextEvent(const std::string &eventId, const std::string &lastEventId)
{
    const auto number = eventNumber(eventId);
    const auto lastNumber = eventNumber(lastEventId);
    return number && lastNumber && *number == *lastNumber + 1;
}

/// Whether it is an event at all, and not only a comment.
bool hasContent(const StreamEvent &event)
{
    return !event.id.empty() || !event.data.empty();
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

void CallerStream::beginAttempt()
{
    m_isResuming = m_hasStarted;
}

CallerStream::ForwardResult CallerStream::forward(ServerConnection &connection, const MessageHead &head, const std::vector<StreamEvent> &events)
{
    for (const StreamEvent &event : events) {
        if (m_isResuming && !hasContent(event)) {
            continue;
        }
        if (m_isResuming && !continuesStream(event)) {
            return ForwardResult::NotContinued;
        }
        m_isResuming = false;
        if (!m_lastEventId.empty() && !isLaterEvent(event.id, m_lastEventId)) {
            continue;
        }
        if (!m_hasStarted) {
            start(connection, head);
        }
        if (!forwardEvent(connection, event)) {
            return ForwardResult::OverLimit;
        }
    }
    return ForwardResult::Forwarded;
}

bool CallerStream::canResume() const
{
    return !m_hasStarted || m_hasLastEventId;
}

// An endpoint that begins anew, or later than it was asked to, has run the request as another one.
bool CallerStream::continuesStream(const StreamEvent &event) const
{
    if (event.id.empty() || event.id == m_lastEventId || !isLaterEvent(event.id, m_lastEventId)) {
        return false;
    }
    const bool areIdsConsecutive = m_forwardedIds > 1 && !m_hasIdGap;
    return !areIdsConsecutive || isNextEvent(event.id, m_lastEventId);
}

bool CallerStream::forwardEvent(ServerConnection &connection, const StreamEvent &event)
{
    const bool isOutputTooLong = m_keepsOutput && !m_outputBytes.tryAppend(m_output, event.data + '\n');
    if (isOutputTooLong || connection.unsentBytes() > MaxUnsentBytes || !connection.hasMemoryFor(event.bytes.size())) {
        return false;
    }
    ++m_forwardedEvents;
    if (hasContent(event)) {
        m_hasLastEventId = !event.id.empty();
    }
    if (!event.id.empty()) {
        m_hasIdGap = m_hasIdGap || (m_forwardedIds > 0 && !isNextEvent(event.id, m_lastEventId));
        m_lastEventId = event.id;
        ++m_forwardedIds;
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
