#pragma once

#include "core/settingsreader.h"
#include "core/time.h"
#include "http/messagehead.h"

#include <asio.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace flamingo
{

/// Why an outgoing call got no whole answer.
struct RequestFailure {
    enum class Kind {
        NotSent, ///< No connection: the peer has provably seen nothing.
        Broken, ///< The connection ended, or what came back is no answer.
    };

    Kind kind = Kind::Broken;
    std::string detail;
    bool wasConnectionReused = false; ///< The connection had carried an earlier call, so the peer may have closed it before this one.
};

/// A request to a peer, endpoint or store.
struct ClientRequest {
    SocketAddress address;
    MessageHead head;
    std::string body;
    /// The most time that a kept connection may have been idle to be used; 0 for a fresh one.
    Milliseconds maxIdleTime{0};
    Milliseconds connectTimeout{1000};
    /// Answers that carry another value in answerIdField belong to an earlier call and are skipped; empty for no check.
    std::string responseId;
    std::string responseIdField;
};

/// Called on the loop's thread, never from inside LinkPool::call. After onComplete or onFailure nothing more is called.
struct ResponseHandlers {
    std::function<void(const MessageHead &head)> onHead;
    std::function<void(std::string_view bytes)> onBody;
    std::function<void()> onComplete;
    std::function<void(const RequestFailure &failure)> onFailure;
};

namespace detail
{
class ClientConnection;
}

/// A call under way.
class RequestHandle
{
public:
    RequestHandle() = default;
    RequestHandle(std::weak_ptr<detail::ClientConnection> connection, std::uint64_t number);

    /// Ends the call by closing its connection, so that the peer stops working on it. No handler is called any more.
    void cancel();

private:
    std::weak_ptr<detail::ClientConnection> m_connection;
    std::uint64_t m_requestNumber = 0; ///< Which of the connection's calls this is.
};

/// Outgoing HTTP/1.1 connections, one call at a time on each, kept for later calls. It never sends a call twice: what
/// may be repeated is for its user to decide.
class ConnectionPool
{
public:
    struct Settings {
        std::size_t maxIdlePerAddress = 4;
        /// A peer that acknowledges no bytes for this long is taken as unreachable.
        Milliseconds unacknowledgedTimeout{1500};
    };

    ConnectionPool(asio::io_context &context, Settings settings);
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    RequestHandle send(ClientRequest request, ResponseHandlers handlers);

    std::uint64_t openedConnectionCount() const;

private:
    friend class detail::ClientConnection;
    using ConnectionPtr = std::shared_ptr<detail::ClientConnection>;

    ConnectionPtr takeIdle(const ClientRequest &request);
    void addIdle(const ConnectionPtr &connection);
    void removeIdle(const detail::ClientConnection *connection);

    asio::io_context &m_context;
    const Settings m_settings;
    std::unordered_map<std::string, std::deque<ConnectionPtr>> m_idle;
    std::uint64_t m_openedConnectionCount = 0;
};

} // namespace flamingo
