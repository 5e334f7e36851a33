#include "http/connectionpool.h"

#include "http/clientconnection.h"

#include <algorithm>
#include <iterator>

namespace flamingo
{

RequestHandle::RequestHandle(std::weak_ptr<detail::ClientConnection> connection, std::uint64_t number)
    : m_connection(std::move(connection))
    , m_requestNumber(number)
{
}

void RequestHandle::cancel()
{
    if (const auto connection = m_connection.lock()) {
        connection->cancel(m_requestNumber);
    }
    m_connection.reset();
}

ConnectionRef RequestHandle::connection() const
{
    return m_connection;
}

ConnectionPool::ConnectionPool(asio::io_context &context, Settings settings)
    : m_context(context)
    , m_settings(settings)
    , m_responseBytes(std::make_shared<ResponseBytes>(settings.maxResponseBytes))
{
}

ConnectionPool::~ConnectionPool()
{
    for (auto &[address, connections] : m_idle) {
        for (const ConnectionPtr &connection : connections) {
            connection->detach();
        }
    }
}

RequestHandle ConnectionPool::send(ClientRequest request, ResponseHandlers handlers)
{
    ConnectionPtr connection = takeIdle(request);
    if (!connection) {
        ++m_openedConnectionCount;
        connection = std::make_shared<detail::ClientConnection>(m_context, *this, request.address);
    }
    connection->send(std::move(request), std::move(handlers));
    return {connection, connection->requestNumber()};
}

ConnectionPool::ConnectionPtr ConnectionPool::takeIdle(const ClientRequest &request)
{
    const std::string address = request.address.text();
    const Instant now = std::chrono::steady_clock::now();
    closeOutdated(address, now);
    const auto idle = m_idle.find(address);
    if (idle == m_idle.end()) {
        return nullptr;
    }
    const auto isUsable = [&](const ConnectionPtr &connection) {
        const bool hasCarriedRequest =
            std::any_of(request.usedConnections.begin(), request.usedConnections.end(), [&](const ConnectionRef &it) { return it.lock() == connection; });
        return !hasCarriedRequest && now - connection->idleSince() <= request.maxIdleTime;
    };
    std::deque<ConnectionPtr> &connections = idle->second;
    // The last one has been idle for the shortest time.
    const auto it = std::find_if(connections.rbegin(), connections.rend(), isUsable);
    if (it == connections.rend()) {
        return nullptr;
    }
    ConnectionPtr connection = *it;
    connections.erase(std::next(it).base());
    return connection;
}

void ConnectionPool::closeOutdated(const std::string &address, Instant now)
{
    const auto idle = m_idle.find(address);
    if (idle == m_idle.end()) {
        return;
    }
    std::vector<ConnectionPtr> outdated;
    std::copy_if(idle->second.begin(), idle->second.end(), std::back_inserter(outdated), [&](const ConnectionPtr &it) { return now >= it->reusableUntil(); });
    for (const ConnectionPtr &connection : outdated) {
        connection->close();
    }
}

void ConnectionPool::addIdle(const ConnectionPtr &connection)
{
    std::deque<ConnectionPtr> &connections = m_idle[connection->address().text()];
    connections.push_back(connection);
    if (connections.size() > m_settings.maxIdlePerAddress) {
        const ConnectionPtr oldest = connections.front();
        connections.pop_front();
        oldest->close();
    }
}

void ConnectionPool::removeIdle(const detail::ClientConnection *connection)
{
    const auto it = m_idle.find(connection->address().text());
    if (it == m_idle.end()) {
        return;
    }
    auto &connections = it->second;
    connections.erase(std::remove_if(connections.begin(), connections.end(), [connection](const ConnectionPtr &kept) { return kept.get() == connection; }),
                      connections.end());
    if (connections.empty()) {
        m_idle.erase(it);
    }
}

const std::shared_ptr<ResponseBytes> &ConnectionPool::responseBytes() const
{
    return m_responseBytes;
}

std::uint64_t ConnectionPool::openedConnectionCount() const
{
    return m_openedConnectionCount;
}

} // namespace flamingo
