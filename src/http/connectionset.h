#pragma once

#include "http/serverconnection.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace flamingo
{

/// The connections of one listening address.
class ConnectionSet
{
public:
    using RequestHandler = std::function<void(ServerConnectionPtr connection, ServerRequest request)>;

    /// Throws std::exception when the address can't be listened on.
    ConnectionSet(asio::io_context &context, const asio::ip::tcp::endpoint &address, RequestHandler onRequest, std::function<ConnectionLimits()> limits);

    /// Whether from now on each answer closes its connection.
    void setClosing(bool isClosing);

    void stopAccepting();

    /// Closes the connections on which nothing is under way.
    void closeIdle();

    /// Connections on which a request is arriving or being answered.
    std::size_t busyCount() const;
    std::size_t size() const;

private:
    void onAccept(asio::ip::tcp::socket socket);

    ServerHooks m_hooks;
    std::unordered_map<ServerConnection *, ServerConnectionPtr> m_connections;
    bool m_isClosing = false;
    ServerListener m_listener;
};

} // namespace flamingo
