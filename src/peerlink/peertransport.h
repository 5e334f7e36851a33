#pragma once

#include "core/time.h"
#include "peerlink/messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace flamingo
{

/// A connection to a peer, whichever end opened it.
using LinkId = std::uint64_t;

/// Transports typed messages between the system's own processes: CBOR in binary WebSocket frames. Both ends prove by
/// challenge and response that they hold the shared secret before any message is accepted. Each end sends heartbeats and
/// closes a connection on which nothing arrives, since it may stay silent for good while a new one works.
///
/// A message is delivered at most once, and in the order of its link. When the link goes down, the message may be lost, and
/// the sender is told that the link is down.
class PeerTransport
{
public:
    struct Settings {
        std::string listenAddress = "127.0.0.1"; ///< IP address.
        std::uint16_t listenPort = 0; ///< 0 for a process that only opens connections itself.
        std::string secret;
        Milliseconds heartbeatPeriod{500};
        Milliseconds silenceTimeout{1500}; ///< A link is closed if nothing arrives for this long.
        Milliseconds idleTimeout{60000}; ///< A link that this process opened is closed after this time without messages.
    };

    using MessageHandler = std::function<void(LinkId link, PeerMessage message)>;
    using LinkDownHandler = std::function<void(LinkId link)>;

    /// The handlers are called on the transport's own thread. Throws std::exception if listening on the port fails.
    PeerTransport(Settings settings, MessageHandler onMessage, LinkDownHandler onLinkDown);
    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    /// Closes all links. Takes 200 ms, in which queued messages are handed to the operating system.
    void stop();

    /// Sends to an address, opening a link first if there is none. Returns the link. If it can't be opened, it is reported
    /// as down.
    LinkId sendTo(const std::string &address, const PeerMessage &message);

    /// Sends on a link. If the link is down, the message is dropped.
    void send(LinkId link, const PeerMessage &message);

    /// Bytes sent and received so far, heartbeats included.
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace flamingo
