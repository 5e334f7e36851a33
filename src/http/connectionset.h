#pragma once

#include "http/serverconnection.h"
#include "http/serverlistener.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace flamingo
{

/// A listening address and its connections.
class ConnectionSet
{
public:
    using RequestHandler = std::function<void(ServerConnectionPtr connection, ServerRequest request)>;

    /// Throws std::exception if it cannot listen on the address.
    ConnectionSet(asio::io_context &context,
                  const asio::ip::tcp::endpoint &address,
                  RequestHandler onRequest,
                  std::function<ConnectionLimits()> limits,
                  ConnectionBounds bounds = {});

    /// Sets whether each response from now on closes its connection.
    void setClosing(bool isClosing);

    /// Closes the port. Connections whose handshake has begun are still accepted for a short time.
    void stopAccepting();

    /// Whether connections may still be accepted.
    bool isAccepting() const;

    /// Closes the connections on which no request is arriving or being answered.
    void closeIdle();

    /// The number of connections on which a request is arriving or being answered.
    std::size_t busyCount() const;
    std::size_t size() const;

    /// The number of bytes that wait to be sent on all connections.
    std::size_t unsentBytes() const;

private:
    void onAccept(asio::ip::tcp::socket socket);
    void onRequest(const ServerConnectionPtr &connection, ServerRequest request);
    bool hasDescriptors(std::size_t additional) const;
    bool tryCloseOne();

    RequestHandler m_onRequest;
    ServerHooks m_hooks;
    std::unordered_map<ServerConnection *, ServerConnectionPtr> m_connections;
    bool m_isClosing = false;
    ServerListener m_listener;
};

} // namespace flamingo
