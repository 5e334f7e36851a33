#pragma once

#include "core/settingsreader.h"
#include "core/time.h"
#include "http/messagehead.h"
#include "http/responsebytes.h"

#include <asio.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace flamingo
{

/// Why a request got no complete response.
struct RequestFailure {
    enum class Kind {
        NotSent, ///< No connection: the peer has certainly not received the request.
        Broken, ///< The connection ended, or the response is invalid.
    };

    Kind kind = Kind::Broken;
    std::string detail;
    /// The connection had carried an earlier request and no response arrived, so the peer may have closed it before this
    /// request.
    bool wasConnectionReused = false;
    /// For the kind NotSent: an instance that should have forwarded the request is to blame, not the endpoint.
    bool isForwarderFault = false;
};

namespace detail
{
class ClientConnection;
}

/// Names a connection without keeping it open.
using ConnectionRef = std::weak_ptr<const detail::ClientConnection>;

/// For responses that are passed on as they arrive.
constexpr std::size_t UnlimitedBodyBytes = std::numeric_limits<std::size_t>::max();
constexpr std::size_t DefaultMaxBodyBytes = std::size_t(8) * 1024 * 1024;

/// A request to a peer, endpoint or store.
struct ClientRequest {
    SocketAddress address;
    MessageHead head;
    std::string body;
    /// If it is set, this is the body. It is released when the response has ended.
    std::shared_ptr<const std::string> sharedBody;
    /// Maximum idle time of a connection to be reused; 0 for a new connection.
    Milliseconds maxIdleTime{0};
    Milliseconds connectTimeout{1000};
    /// If no connection is there by then, as after a pause of the process, the request fails without being sent.
    Instant sendBy = Instant::max();
    /// Responses without the header field responseIdField, or with another value in it, belong to an earlier request and are
    /// skipped; empty for no check.
    std::string responseId;
    std::string responseIdField;
    /// Connections that have carried this request before. They aren't used for it again, since the peer may write a copy of its
    /// earlier response there, which has the same id.
    std::vector<ConnectionRef> usedConnections;
    /// How long the peer may acknowledge nothing before the request fails; without a value, the time in the pool's settings. A peer
    /// that works on a request may well be silent for a second or so and go on.
    std::optional<Milliseconds> silenceLimit;
    /// The request fails when the body of its response, or of one that is skipped, is longer.
    std::size_t maxBodyBytes = DefaultMaxBodyBytes;
};

/// Called on the thread of the event loop, never from inside ConnectionPool::send. After onComplete or onFailure, no
/// handler is called.
struct ResponseHandlers {
    std::function<void()> onConnected; ///< A connection has been established for the request; not called for a reused one.
    std::function<void(const MessageHead &head)> onHead;
    std::function<void(std::string_view bytes)> onBody;
    std::function<void()> onComplete;
    std::function<void(const RequestFailure &failure)> onFailure;
};

/// A handle to cancel a pending request.
class RequestHandle
{
public:
    RequestHandle() = default;
    RequestHandle(std::weak_ptr<detail::ClientConnection> connection, std::uint64_t number);

    /// Cancels the request by closing its connection, so that the peer stops working on it. No handler is called
    /// afterwards. A handler of the request itself may call this.
    void cancel();

    /// The request's connection.
    ConnectionRef connection() const;

private:
    std::weak_ptr<detail::ClientConnection> m_connection;
    std::uint64_t m_requestNumber = 0; ///< Number of the request on its connection.
};

/// A pool of outgoing HTTP/1.1 connections, each of which carries one request at a time and is kept for later ones. The
/// pool never retries a request, since only its user knows which requests may be repeated.
class ConnectionPool
{
public:
    struct Settings {
        std::size_t maxIdlePerAddress = 4;
        /// A peer that acknowledges no bytes for this long counts as unreachable. A request may have a limit of its own.
        Milliseconds unacknowledgedTimeout{1500};
        std::size_t maxResponseBytes = ResponseBytes::DefaultSharedBytes; ///< Of internal requests; compare ResponseBytes.
    };

    ConnectionPool(asio::io_context &context, Settings settings);
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    RequestHandle send(ClientRequest request, ResponseHandlers handlers);

    std::uint64_t openedConnectionCount() const;

    /// What the responses to this pool's internal requests hold.
    const std::shared_ptr<ResponseBytes> &responseBytes() const;

private:
    friend class detail::ClientConnection;
    using ConnectionPtr = std::shared_ptr<detail::ClientConnection>;

    ConnectionPtr takeIdle(const ClientRequest &request);
    void closeOutdated(const std::string &address, Instant now);
    void addIdle(const ConnectionPtr &connection);
    void removeIdle(const detail::ClientConnection *connection);

    asio::io_context &m_context;
    const Settings m_settings;
    std::unordered_map<std::string, std::deque<ConnectionPtr>> m_idle;
    std::uint64_t m_openedConnectionCount = 0;
    std::shared_ptr<ResponseBytes> m_responseBytes;
};

} // namespace flamingo
