#include "http/connectionset.h"

#include <algorithm>
#include <vector>

namespace flamingo
{

ConnectionSet::ConnectionSet(asio::io_context &context,
                             const asio::ip::tcp::endpoint &address,
                             RequestHandler onRequest,
                             std::function<ConnectionLimits()> limits)
    : m_hooks{std::move(onRequest), std::move(limits), [this](ServerConnection *connection) { m_connections.erase(connection); }}
    , m_listener(context, address, [this](asio::ip::tcp::socket socket) { onAccept(std::move(socket)); })
{
}

void ConnectionSet::onAccept(asio::ip::tcp::socket socket)
{
    const auto connection = std::make_shared<ServerConnection>(std::move(socket), m_hooks);
    m_connections.emplace(connection.get(), connection);
    connection->setClosing(m_isClosing);
    connection->start();
}

void ConnectionSet::setClosing(bool isClosing)
{
    m_isClosing = isClosing;
    for (const auto &[pointer, connection] : m_connections) {
        connection->setClosing(isClosing);
    }
}

void ConnectionSet::stopAccepting()
{
    m_listener.close();
}

bool ConnectionSet::isAccepting() const
{
    return m_listener.isOpen();
}

void ConnectionSet::closeIdle()
{
    std::vector<ServerConnectionPtr> connections;
    for (const auto &[pointer, connection] : m_connections) {
        connections.push_back(connection);
    }
    for (const ServerConnectionPtr &connection : connections) {
        connection->closeIfIdle();
    }
}

std::size_t ConnectionSet::busyCount() const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [](const auto &it) { return it.second->isBusy(); }));
}

std::size_t ConnectionSet::size() const
{
    return m_connections.size();
}

} // namespace flamingo
