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
    explicit CallerStream(BufferQuota &quota);

    /// Keeps the data of the events for the turn's record.
    void setKeepsOutput();

    /// Sends the head of the response.
    void start(ServerConnection &connection, const MessageHead &head);

    /// Forwards the events that the caller doesn't have yet, after the head. Returns false when a limit is exceeded: the output
    /// is too long, or the caller leaves too much unread.
    bool forward(ServerConnection &connection, const MessageHead &head, const std::vector<StreamEvent> &events);

    /// Whether the caller has got the head.
    bool hasStarted() const;

    int forwardedEvents() const;

    /// Id of the last event forwarded; empty before the first one with an id.
    const std::string &lastEventId() const;

    std::string takeOutput();

private:
    bool forwardEvent(ServerConnection &connection, const StreamEvent &event);

    std::string m_lastEventId;
    std::string m_output;
    BufferedBytes m_outputBytes; ///< Those of m_output.
    int m_forwardedEvents = 0;
    bool m_keepsOutput = false;
    bool m_hasStarted = false;
};

} // namespace flamingo
