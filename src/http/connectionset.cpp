#include "http/connectionset.h"

#include "core/log.h"

#include <algorithm>
#include <vector>

namespace flamingo
{

ConnectionSet::ConnectionSet(asio::io_context &context,
                             const asio::ip::tcp::endpoint &address,
                             RequestHandler onRequest,
                             std::function<ConnectionLimits()> limits,
                             ConnectionBounds bounds)
    : m_onRequest(std::move(onRequest))
    , m_hooks{[this](const ServerConnectionPtr &connection, ServerRequest request) { this->onRequest(connection, std::move(request)); },
              std::move(limits),
              [this](ServerConnection *connection) { m_connections.erase(connection); },
              std::move(bounds)}
    , m_listener(context, address, [this](asio::ip::tcp::socket socket) { onAccept(std::move(socket)); })
{
}

void ConnectionSet::onAccept(asio::ip::tcp::socket socket)
{
    const auto connection = std::make_shared<ServerConnection>(std::move(socket), m_hooks);
    connection->setClosing(m_isClosing);
    const bool hasDescriptor = hasDescriptors(1) || tryCloseOne();
    // An idle connection holds as much memory as a new one, so closing one is enough.
    if (!hasDescriptor || (!connection->start() && !(tryCloseOne() && connection->start()))) {
        logChange("connection-refused", "connections={} reason={}", m_connections.size(), hasDescriptor ? "memory" : "descriptors");
        m_hooks.bounds.report(ShedEvent::ConnectionRefused);
        return;
    }
    m_connections.emplace(connection.get(), connection);
}

void ConnectionSet::onRequest(const ServerConnectionPtr &connection, ServerRequest request)
{
    constexpr int ServiceUnavailable = 503;
    if (hasDescriptors(0) || tryCloseOne()) {
        m_onRequest(connection, std::move(request));
        return;
    }
    logChange("request-refused", "connections={} reason=descriptors", m_connections.size());
    m_hooks.bounds.report(ShedEvent::RequestRefused);
    connection->setClosing(true);
    connection->respond(ServiceUnavailable, m_hooks.bounds.fieldsFor(request.head), {});
}

bool ConnectionSet::hasDescriptors(std::size_t additional) const
{
    const std::size_t limit = m_hooks.bounds.maxDescriptors;
    const std::size_t connections = m_connections.size() + additional;
    // Counting the busy ones is needed only where it can matter.
    return limit == 0 || connections * 2 <= limit || connections + busyCount() <= limit;
}

bool ConnectionSet::tryCloseOne()
{
    std::vector<ServerConnectionPtr> connections;
    std::vector<ConnectionActivity> activities;
    for (const auto &[pointer, connection] : m_connections) {
        connections.push_back(connection);
        activities.push_back(connection->activity());
    }
    const auto chosen = chooseConnectionToClose(activities, std::chrono::steady_clock::now());
    if (!chosen) {
        return false;
    }
    m_hooks.bounds.report(ShedEvent::ConnectionClosed);
    connections[*chosen]->abort();
    return true;
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

std::size_t ConnectionSet::unsentBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[pointer, connection] : m_connections) {
        bytes += connection->unsentBytes();
    }
    return bytes;
}

std::size_t ConnectionSet::size() const
{
    return m_connections.size();
}

} // namespace flamingo
