#include "http/clientconnection.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace flamingo::detail
{

namespace
{
/// Number of responses to earlier requests that are skipped while a request waits for its own. After one more the request
/// fails and the connection is closed.
constexpr int MaxSkippedResponses = 2;
/// Number of informational responses (status 1xx) that are skipped likewise.
constexpr int MaxInformationalResponses = 16;
/// Percentage of the peer's idle timeout after which a connection is not reused, since the peer may be closing it.
constexpr int KeepAliveUsePercent = 70;
constexpr Milliseconds DefaultKeepAliveTime{4000};
constexpr int TcpKeepAliveIdleSeconds = 1;
constexpr int TcpKeepAliveIntervalSeconds = 1;
constexpr int TcpKeepAliveProbes = 2;

/// KeepAliveUsePercent of the "timeout" parameter of the Keep-Alive field; the default time when there is none.
Milliseconds keepAliveTime(const MessageHead &head)
{
    const std::string field = head.fields.value("Keep-Alive");
    const auto at = field.find("timeout=");
    if (at == std::string::npos) {
        return DefaultKeepAliveTime;
    }
    int seconds = 0;
    const char *begin = field.data() + at + std::string_view("timeout=").size();
    std::from_chars(begin, field.data() + field.size(), seconds);
    return Milliseconds(std::clamp(seconds, 0, 3600) * 10 * KeepAliveUsePercent);
}
} // namespace

ClientConnection::ClientConnection(asio::io_context &context, ConnectionPool &pool, SocketAddress address)
    : m_address(std::move(address))
    , m_socket(context)
    , m_connectTimer(context)
    , m_pool(&pool)
{
}

void ClientConnection::send(ClientRequest request, ResponseHandlers handlers)
{
    m_request = std::move(request);
    m_handlers = std::move(handlers);
    m_isBusy = true;
    ++m_requestNumber;
    m_isRequestWritten = false;
    m_hasResponse = false;
    m_skippedResponses = 0;
    m_informationalResponses = 0;
    if (!m_request.sharedBody) {
        m_request.sharedBody = std::make_shared<const std::string>(std::move(m_request.body));
    }
    m_requestHead = serializeRequest(m_request.head, m_request.sharedBody->size());
    if (m_isConnected) {
        m_isReused = true;
        applySilenceLimit();
        write();
    } else {
        connect();
    }
}

void ClientConnection::cancel(std::uint64_t requestNumber)
{
    if (m_isBusy && requestNumber == m_requestNumber) {
        // One of the handlers may be running, so they are destroyed later.
        asio::post(m_socket.get_executor(), [handlers = std::move(m_handlers)] {});
        m_handlers = {};
        close();
    }
}

std::uint64_t ClientConnection::requestNumber() const
{
    return m_requestNumber;
}

void ClientConnection::close()
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    releaseRequest();
    m_connectTimer.cancel();
    asio::error_code ignored;
    m_socket.close(ignored);
    if (m_pool) {
        m_pool->removeIdle(this);
    }
}

void ClientConnection::detach()
{
    m_pool = nullptr;
    m_handlers = {};
    close();
}

const SocketAddress &ClientConnection::address() const
{
    return m_address;
}

Instant ClientConnection::idleSince() const
{
    return m_idleSince;
}

Instant ClientConnection::reusableUntil() const
{
    return m_reusableUntil;
}

// A body may be large, and idle connections are kept for long.
void ClientConnection::releaseRequest()
{
    m_request.sharedBody.reset();
}

void ClientConnection::connect()
{
    asio::error_code ec;
    const auto host = asio::ip::make_address(m_address.host, ec);
    if (ec) {
        asio::post(m_socket.get_executor(), [self = shared_from_this(), ec] { self->fail(RequestFailure::Kind::NotSent, ec.message()); });
        return;
    }
    m_connectTimer.expires_after(m_request.connectTimeout);
    m_connectTimer.async_wait([self = weak_from_this()](const asio::error_code &waited) {
        const auto it = self.lock();
        if (!waited && it && !it->m_isConnected) {
            it->fail(RequestFailure::Kind::NotSent, "no connection within the time limit");
        }
    });
    m_socket.async_connect({host, m_address.port}, [self = shared_from_this()](const asio::error_code &failed) { self->onConnected(failed); });
}

void ClientConnection::onConnected(const asio::error_code &ec)
{
    if (m_isClosed) {
        return;
    }
    if (ec) {
        fail(RequestFailure::Kind::NotSent, ec.message());
        return;
    }
    m_connectTimer.cancel();
    m_isConnected = true;
    asio::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    applySilenceLimit();
    // TCP keep-alive detects a dead peer while the connection waits for a response.
    m_socket.set_option(asio::socket_base::keep_alive(true), ignored);
    setTcpOption<TCP_KEEPIDLE>(TcpKeepAliveIdleSeconds);
    setTcpOption<TCP_KEEPINTVL>(TcpKeepAliveIntervalSeconds);
    setTcpOption<TCP_KEEPCNT>(TcpKeepAliveProbes);
    if (m_handlers.onConnected) {
        m_handlers.onConnected();
    }
    write();
    read();
}

// The option limits unacknowledged data, and decides instead of the number of probes when keep-alive gives up. A probe that isn't
// answered for any other reason ends no request sooner.
void ClientConnection::applySilenceLimit()
{
    const Milliseconds limit = m_request.silenceLimit.value_or(m_pool->m_settings.unacknowledgedTimeout);
    setTcpOption<TCP_USER_TIMEOUT>(static_cast<int>(std::clamp<std::int64_t>(limit.count(), 1, std::numeric_limits<int>::max())));
}

void ClientConnection::write()
{
    if (std::chrono::steady_clock::now() > m_request.sendBy) {
        asio::post(m_socket.get_executor(), [self = shared_from_this(), number = m_requestNumber] { self->failUnsent(number); });
        return;
    }
    const std::array<asio::const_buffer, 2> bytes{asio::buffer(m_requestHead), asio::buffer(*m_request.sharedBody)};
    // The handler keeps the body, which is written even if the connection is closed meanwhile.
    asio::async_write(m_socket, bytes, [self = shared_from_this(), body = m_request.sharedBody](const asio::error_code &ec, std::size_t) {
        self->m_isRequestWritten = !ec;
        // A write error does not fail the request: a peer may respond and close before it has read everything, so the
        // result depends on the response.
    });
}

void ClientConnection::failUnsent(std::uint64_t requestNumber)
{
    if (m_isBusy && requestNumber == m_requestNumber) {
        fail(RequestFailure::Kind::NotSent, "too late to be sent");
    }
}

void ClientConnection::read()
{
    m_socket.async_read_some(asio::buffer(m_readBuffer), [self = shared_from_this()](const asio::error_code &ec, std::size_t n) {
        if (self->m_isClosed) {
            return;
        }
        if (ec) {
            self->onReadError(ec);
            return;
        }
        self->onBytes({self->m_readBuffer.data(), n});
        if (!self->m_isClosed) {
            self->read();
        }
    });
}

// Whether the peer has acknowledged the whole request. While it hasn't, an end of the connection may stand for a reset, which a failed write
// has taken or which is yet to arrive.
bool ClientConnection::isRequestDelivered()
{
    int unacknowledged = 0;
    const bool isKnown = ::ioctl(m_socket.native_handle(), SIOCOUTQ, &unacknowledged) == 0;
    return m_isRequestWritten && (!isKnown || unacknowledged == 0);
}

void ClientConnection::onReadError(const asio::error_code &ec)
{
    if (!m_isBusy) {
        close();
        return;
    }
    const bool isResponseComplete = ec == asio::error::eof && m_parser.finish() == MessageParser::Event::Complete;
    if (isResponseComplete && !m_isSkippingResponse && isRequestDelivered()) {
        complete(false);
        return;
    }
    fail(RequestFailure::Kind::Broken, isResponseComplete ? "closed before the request was read" : ec.message());
}

void ClientConnection::onBytes(std::string_view bytes)
{
    while (!bytes.empty() && !m_isClosed) {
        if (!m_isBusy) {
            // The peer sent bytes without a request.
            close();
            return;
        }
        const MessageParser::Event event = m_parser.feed(bytes);
        if (event == MessageParser::Event::Head) {
            onHead();
        } else if (event == MessageParser::Event::Body) {
            onBody();
        } else if (event == MessageParser::Event::Complete) {
            onMessageEnd(!bytes.empty());
        } else if (event == MessageParser::Event::Error) {
            fail(RequestFailure::Kind::Broken, m_parser.error());
        }
    }
}

void ClientConnection::onHead()
{
    const MessageHead &head = m_parser.head();
    const std::string *id = m_request.responseId.empty() ? nullptr : head.fields.find(m_request.responseIdField);
    const bool isInformational = head.status >= 100 && head.status < 200;
    // Each response to the request has its id, so bytes without one, or with another one, belong to no request or to an earlier one.
    const bool isForOtherRequest = !isInformational && !m_request.responseId.empty() && (!id || *id != m_request.responseId);
    m_isSkippingResponse = isInformational || isForOtherRequest;
    m_bodyBytes = 0;
    if (m_isSkippingResponse) {
        skipResponse(isForOtherRequest && !head.isFramed, isForOtherRequest);
        return;
    }
    m_hasResponse = true;
    if (head.contentLength > 0 && static_cast<std::size_t>(head.contentLength) > m_request.maxBodyBytes) {
        fail(RequestFailure::Kind::Broken, "a body over the size limit");
        return;
    }
    if (m_handlers.onHead) {
        m_handlers.onHead(head);
    }
}

void ClientConnection::skipResponse(bool isEndUnknown, bool isForOtherRequest)
{
    m_skippedResponses += isForOtherRequest ? 1 : 0;
    m_informationalResponses += isForOtherRequest ? 0 : 1;
    if (m_skippedResponses > MaxSkippedResponses || isEndUnknown) {
        fail(RequestFailure::Kind::Broken, "an answer to another request");
    } else if (m_informationalResponses > MaxInformationalResponses) {
        fail(RequestFailure::Kind::Broken, "too many informational responses");
    }
}

void ClientConnection::onBody()
{
    m_bodyBytes += m_parser.body().size();
    if (m_bodyBytes > m_request.maxBodyBytes) {
        fail(RequestFailure::Kind::Broken, "a body over the size limit");
        return;
    }
    if (!m_isSkippingResponse && m_handlers.onBody) {
        m_handlers.onBody(m_parser.body());
    }
}

void ClientConnection::onMessageEnd(bool hasMoreBytes)
{
    if (m_isSkippingResponse) {
        m_isSkippingResponse = false;
        if (!m_parser.head().keepsConnection) {
            fail(RequestFailure::Kind::Broken, "closed after an answer to another request");
        }
        return;
    }
    complete(!hasMoreBytes && m_isRequestWritten && m_parser.head().keepsConnection);
}

void ClientConnection::complete(bool isReusable)
{
    const auto self = shared_from_this();
    const ResponseHandlers handlers = std::move(m_handlers);
    m_handlers = {};
    m_isBusy = false;
    releaseRequest();
    m_idleSince = std::chrono::steady_clock::now();
    m_reusableUntil = m_idleSince + keepAliveTime(m_parser.head());
    if (isReusable && m_pool) {
        m_pool->addIdle(self);
    } else {
        close();
    }
    if (handlers.onComplete) {
        handlers.onComplete();
    }
}

void ClientConnection::fail(RequestFailure::Kind kind, const std::string &detail)
{
    const auto self = shared_from_this();
    const ResponseHandlers handlers = std::move(m_handlers);
    m_handlers = {};
    m_isBusy = false;
    close();
    if (handlers.onFailure) {
        handlers.onFailure({kind, detail, m_isReused && !m_hasResponse, false});
    }
}

} // namespace flamingo::detail
