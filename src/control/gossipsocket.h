#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace flamingo
{

/// Sends and receives gossip datagrams over UDP. Each datagram carries a message authentication code made with the shared
/// secret; datagrams without a valid code are dropped. Gossip uses no connections, so that its cost doesn't grow with the
/// number of members and a stalled connection can't cause a wrong member state.
class GossipSocket
{
public:
    /// Called on the socket's own thread.
    using Handler = std::function<void(std::string payload)>;

    /// Throws std::exception when the address can't be bound.
    GossipSocket(const std::string &host, std::uint16_t port, std::string secret, Handler onDatagram);
    ~GossipSocket();
    GossipSocket(const GossipSocket &) = delete;
    GossipSocket &operator=(const GossipSocket &) = delete;

    /// Sends a payload to an IP address with a port. Errors are ignored, because datagrams may get lost anyway.
    void send(const std::string &address, const std::string &payload);

    std::uint64_t bytesSent() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace flamingo
