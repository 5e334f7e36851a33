#pragma once

#include "core/time.h"
#include "peerlink/messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace flamingo
{

/// One connection of a peer link, whichever end opened it.
using LinkId = std::uint64_t;

/// Typed messages between the system's own processes: CBOR in binary websocket frames. Both ends prove by challenge that
/// they hold the shared secret before any message counts. Each end sends heartbeats; a connection that has been silent
/// is given up, since it may stay silent for good while a new one works.
///
/// A message is delivered at most once, and in the order of its link; when the link goes down it may be lost, and the
/// sender is told that the link is down.
class PeerTransport
{
public:
    struct Settings {
        std::string listenAddress = "127.0.0.1"; ///< IP number.
        std::uint16_t listenPort = 0; ///< 0 for a process that only dials.
        std::string secret;
        Milliseconds heartbeatPeriod{500};
        Milliseconds silenceTimeout{1500}; ///< After which a link is given up.
        Milliseconds idleTimeout{60000}; ///< A dialled link without messages for so long is closed.
    };

    using MessageHandler = std::function<void(LinkId link, PeerMessage message)>;
    using LinkDownHandler = std::function<void(LinkId link)>;

    /// The handlers are called on the link's own thread. Throws std::exception when the port can't be listened on.
    PeerTransport(Settings settings, MessageHandler onMessage, LinkDownHandler onLinkDown);
    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    /// Ends all links, after what waits to be sent has been handed to the system.
    void stop();

    /// Sends to an address, dialling first if there is no link to it. Returns the link, whose going down is reported
    /// also when dialling fails.
    LinkId sendTo(const std::string &address, const PeerMessage &message);

    /// Sends on a link. A link that is down drops the message.
    void send(LinkId link, const PeerMessage &message);

    /// Bytes sent and received so far, heartbeats included.
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace flamingo
