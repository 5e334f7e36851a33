#pragma once

#include "http/eventsplitter.h"
#include "http/messagehead.h"
#include "http/serverconnection.h"
#include "instance/bufferquota.h"

#include <cstddef>
#include <string>
#include <vector>

namespace flamingo
{

/// The caller's side of a streamed response. It forwards each event once, also when the stream is resumed at another endpoint.
class CallerStream
{
public:
    enum class ForwardResult {
        Forwarded,
        OverLimit, ///< The output is too long, or the caller leaves too much unread.
        NotContinued, ///< The events don't continue the stream.
    };

    explicit CallerStream(BufferQuota &quota);

    /// Keeps the data of the events for the turn's record.
    void setKeepsOutput();

    /// Sends the head of the response.
    void start(ServerConnection &connection, const MessageHead &head);

    /// The events from now on come from another attempt. If the stream has started, they have to continue it.
    void beginAttempt();

    /// Forwards the events that the caller doesn't have yet, after the head.
    ForwardResult forward(ServerConnection &connection, const MessageHead &head, const std::vector<StreamEvent> &events);

    /// Whether another attempt can continue the stream: it has not started, or its last event has an id.
    bool canResume() const;

    /// Whether the caller has got the head.
    bool hasStarted() const;

    int forwardedEvents() const;

    /// Id of the last event forwarded; empty before the first one with an id.
    const std::string &lastEventId() const;

    std::string takeOutput();

private:
    bool continuesStream(const StreamEvent &event) const;
    bool forwardEvent(ServerConnection &connection, const StreamEvent &event);

    std::string m_lastEventId;
    std::string m_output;
    BufferedBytes m_outputBytes; ///< Those of m_output.
    int m_forwardedEvents = 0;
    int m_forwardedIds = 0;
    bool m_keepsOutput = false;
    bool m_hasStarted = false;
    bool m_isResuming = false; ///< No event of a resumed attempt has been accepted yet.
    bool m_hasLastEventId = false; ///< The last event forwarded has an id.
    bool m_hasIdGap = false; ///< The ids so far are not consecutive numbers.
};

} // namespace flamingo
