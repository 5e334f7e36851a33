#include "http/serverconnection.h"

#include "core/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace flamingo
{

namespace
{
/// Maximum number of pipelined bytes buffered while a request is being answered. Reading pauses at this limit.
constexpr std::size_t MaxUnparsedBytes = 65536;
/// A pipelined request waits while more bytes of earlier responses are unsent.
constexpr std::size_t MaxUnsentBeforeNextRequest = 65536;
/// A response of which less is unsent isn't cut off when memory is short.
constexpr std::size_t MinUnreadBytes = 16384;
/// Of a connection object with its buffers and its entries in the event loop, rounded up.
constexpr std::size_t ConnectionBytes = 12288;
/// Of the objects that belong to a request in progress, with its connection to an endpoint, rounded up.
constexpr std::size_t RequestBytes = 16384;
/// Copies of a request's head while it is in progress: as received, decoded, and as sent to an endpoint.
constexpr std::size_t HeadCopies = 3;
/// How long a closing connection waits for the caller to close it once everything is sent, since closing a socket with unread
/// bytes resets the connection.
constexpr Milliseconds LingerTimeout{1000};
/// How long a closing connection waits for a caller that reads nothing of what is left to send.
constexpr Milliseconds UnreadTimeout{5000};
/// A caller that acknowledges no bytes for this long has disconnected or is unreachable.
constexpr unsigned UserTimeoutMs = 10000;
/// Callers may reuse a connection until the idle timeout, so the server closes it a little later.
constexpr Milliseconds IdleTimeoutMargin{500};
/// A request may be on its way on a connection that has been idle, or open, for less than this.
constexpr Milliseconds MinIdleTime{100};
} // namespace

ServerConnection::ServerConnection(asio::ip::tcp::socket socket, const ServerHooks &hooks)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_hooks(hooks)
    , m_memory(hooks.bounds.memory, [this] { onEvicted(); })
{
}

bool ServerConnection::start()
{
    if (!m_memory.tryResize(ConnectionBytes, std::chrono::steady_clock::now())) {
        return false;
    }
    asio::error_code ec;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
    m_socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(UserTimeoutMs), ec);
    m_limits = m_hooks.limits();
    armTimer(m_limits.idleTimeout + IdleTimeoutMargin);
    read();
    return true;
}

void ServerConnection::setDisconnectHandler(std::function<void()> onDisconnect)
{
    m_onDisconnect = std::move(onDisconnect);
}

void ServerConnection::read()
{
    if (m_isReading || m_stage == Stage::Closed || m_isReadingPaused || m_unparsed.size() >= MaxUnparsedBytes) {
        return;
    }
    m_isReading = true;
    m_socket.async_read_some(asio::buffer(m_readBuffer), [self = shared_from_this()](const asio::error_code &ec, std::size_t n) {
        self->m_isReading = false;
        if (ec) {
            self->handleDisconnect();
        } else {
            self->onRead(n);
        }
    });
}

void ServerConnection::onRead(std::size_t n)
{
    if (m_stage == Stage::Closing) {
        m_discardedBytes += n;
        if (m_discardedBytes > m_limits.maxBodyBytes) {
            close();
        }
        read();
        return;
    }
    const Instant now = std::chrono::steady_clock::now();
    m_unparsed.append(m_readBuffer.data(), n);
    if (m_stage == Stage::Reading) {
        m_memory.noteProgress(n, now);
        parse();
    }
    if (!m_unparsed.empty() && !m_memory.tryResize(heldBytes(), now)) {
        m_isReadingPaused = true;
        updateMemory();
    }
    read();
}

void ServerConnection::parse()
{
    if (m_isParsing || !mayParse()) {
        return;
    }
    m_isParsing = true;
    m_isReadingPaused = false;
    std::size_t consumed = 0;
    const std::string buf = std::move(m_unparsed);
    m_unparsed.clear();
    std::string_view rest = buf;
    while (m_stage == Stage::Reading && !rest.empty() && mayParse()) {
        const bool wasInside = m_parser.isInsideMessage();
        const MessageParser::Event event = m_parser.feed(rest);
        if (!wasInside && m_parser.isInsideMessage()) {
            m_limits = m_hooks.limits();
            armTimer(m_limits.headTimeout);
        }
        if (m_parser.headBytes() > m_limits.maxHeadBytes) {
            rejectRequest(431);
        } else if (event == MessageParser::Event::Head) {
            onHead();
        } else if (event == MessageParser::Event::Body) {
            onBody(m_parser.body());
        } else if (event == MessageParser::Event::Complete) {
            onRequestComplete();
        } else if (event == MessageParser::Event::Error) {
            rejectRequest(400);
        }
    }
    consumed = buf.size() - rest.size();
    if (m_stage == Stage::Reading || m_stage == Stage::Responding) {
        m_unparsed.insert(0, buf, consumed, std::string::npos);
    }
    m_isParsing = false;
    if (m_stage == Stage::Reading && m_parser.isInsideMessage() && !m_memory.tryResize(heldBytes(), std::chrono::steady_clock::now())) {
        refuseForMemory();
    }
    updateMemory();
}

bool ServerConnection::mayParse() const
{
    return m_parser.isInsideMessage() || m_writes.size() <= MaxUnsentBeforeNextRequest;
}

std::size_t ServerConnection::heldBytes() const
{
    const bool isReceiving = m_stage == Stage::Reading && m_parser.isInsideMessage();
    return ConnectionBytes + (isReceiving ? m_parser.heldBytes() : 0) + m_unparsed.capacity() + m_request.body.capacity() + m_writes.heldBytes();
}

void ServerConnection::updateMemory()
{
    const bool isReceiving = m_stage == Stage::Reading && m_parser.isInsideMessage();
    const bool isUnread = m_writes.size() > MinUnreadBytes;
    const auto eviction = isReceiving ? MemoryHolder::Eviction::IncompleteRequest
                          : isUnread  ? MemoryHolder::Eviction::UnreadResponse
                                      : MemoryHolder::Eviction::Never;
    m_memory.setEviction(eviction, std::chrono::steady_clock::now());
    m_memory.resize(m_stage == Stage::Closed ? 0 : heldBytes());
}

void ServerConnection::onHead()
{
    m_request.head = std::move(m_parser.head());
    m_request.body.clear();
    m_request.arrivedAt = std::chrono::steady_clock::now();
    armTimer(m_limits.idleTimeout);
    const auto announced = static_cast<std::size_t>(std::max(0LL, m_request.head.contentLength));
    if (announced > m_limits.maxBodyBytes) {
        rejectRequest(413);
    } else if (announced > 0 && heldBytes() + announced > m_memory.maxBytes()) {
        refuseForMemory();
    } else if (isSameHeaderName(m_request.head.fields.value("Expect"), "100-continue")) {
        enqueue("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void ServerConnection::onBody(std::string_view bytes)
{
    std::string &body = m_request.body;
    const std::size_t needed = body.size() + bytes.size();
    if (needed > m_limits.maxBodyBytes) {
        rejectRequest(413);
        return;
    }
    const long long announced = m_request.head.contentLength;
    const std::size_t capacity = grownCapacity(body.capacity(), needed, announced < 0 ? m_limits.maxBodyBytes : static_cast<std::size_t>(announced));
    if (capacity > body.capacity() && !m_memory.tryResize(heldBytes() - body.capacity() + capacity, std::chrono::steady_clock::now())) {
        refuseForMemory();
        return;
    }
    appendGrown(body, bytes, capacity);
}

void ServerConnection::onRequestComplete()
{
    m_stage = Stage::Responding;
    m_timer.cancel();
    m_closesAfterResponse = !m_request.head.keepsConnection;
    ServerRequest request = std::move(m_request);
    m_request = {};
    updateMemory();
    if (m_hooks.bounds.memory) {
        request.memory = std::make_shared<MemoryHolder>(m_hooks.bounds.memory);
        const std::size_t bytes = RequestBytes + HeadCopies * m_parser.heldBytes() + request.body.capacity();
        const bool hasRoom = request.memory->tryResize(bytes, std::chrono::steady_clock::now());
        if (m_stage != Stage::Responding) {
            return; // Making room closed this connection, since an earlier response on it is unread.
        }
        if (!hasRoom) {
            m_request.head = std::move(request.head);
            refuseForMemory();
            return;
        }
    }
    m_hooks.onRequest(shared_from_this(), std::move(request));
}

void ServerConnection::rejectRequest(int status, const HeaderFields &fields)
{
    logChange("http-request-rejected", "status={} reason={}", status, m_parser.error().empty() ? "limit" : m_parser.error());
    m_stage = Stage::Responding;
    m_closesAfterResponse = true;
    releaseRequest();
    respond(status, fields, {});
    updateMemory();
}

// Assigning an empty string would keep the capacity.
void ServerConnection::releaseRequest()
{
    std::string().swap(m_request.body);
    m_request = {};
    m_parser.head() = {};
}

// The request has not run, and the caller may send it again.
void ServerConnection::refuseForMemory()
{
    m_hooks.bounds.report(ShedEvent::RequestRefused);
    rejectRequest(503, m_hooks.bounds.fieldsFor(m_request.head));
}

// Another connection needs the memory. Its own work goes on first, so that it isn't entered a second time.
void ServerConnection::onEvicted()
{
    asio::post(m_socket.get_executor(), [self = shared_from_this(), onDisconnect = std::exchange(m_onDisconnect, nullptr)] {
        if (onDisconnect) {
            onDisconnect();
        }
    });
    if (m_stage == Stage::Reading && m_parser.isInsideMessage()) {
        m_hooks.bounds.report(ShedEvent::RequestClosed);
        rejectRequest(503, m_hooks.bounds.fieldsFor(m_request.head));
    } else {
        m_hooks.bounds.report(ShedEvent::ResponseCutOff);
        close();
    }
}

std::string ServerConnection::serializeHead(int status, const HeaderFields &fields)
{
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", status, reasonPhrase(status));
    for (const HeaderField &field : fields.all()) {
        text += fmt::format("{}: {}\r\n", field.name, field.value);
    }
    if (m_closesAfterResponse || m_isClosing) {
        m_closesAfterResponse = true;
        text += "Connection: close\r\n";
    }
    return text;
}

void ServerConnection::respond(int status, const HeaderFields &fields, std::string body)
{
    if (m_stage != Stage::Responding) {
        return;
    }
    std::string text = serializeHead(status, fields);
    if (status != 204 && status != 304) {
        text += fmt::format("Content-Length: {}\r\n", body.size());
    }
    text += "\r\n";
    // Large bodies aren't copied.
    if (text.size() + body.size() <= m_readBuffer.size()) {
        text += body;
        body.clear();
    }
    enqueue(std::move(text));
    enqueue(std::move(body));
    finishResponse();
}

void ServerConnection::startStream(int status, const HeaderFields &fields, long long length)
{
    if (m_stage != Stage::Responding) {
        return;
    }
    m_isChunked = length < 0;
    std::string text = serializeHead(status, fields);
    text += m_isChunked ? "Transfer-Encoding: chunked\r\n\r\n" : fmt::format("Content-Length: {}\r\n\r\n", length);
    enqueue(std::move(text));
}

void ServerConnection::write(std::string_view bytes)
{
    if (m_stage != Stage::Responding || bytes.empty()) {
        return;
    }
    if (!m_isChunked) {
        enqueue(std::string(bytes));
        return;
    }
    std::string text = fmt::format("{:x}\r\n", bytes.size());
    text += bytes;
    text += "\r\n";
    enqueue(std::move(text));
}

void ServerConnection::finishStream()
{
    if (m_stage != Stage::Responding) {
        return;
    }
    if (m_isChunked) {
        enqueue("0\r\n\r\n");
    }
    finishResponse();
}

void ServerConnection::abort()
{
    m_onDisconnect = nullptr;
    close();
}

void ServerConnection::setClosing(bool isClosing)
{
    m_isClosing = isClosing;
}

void ServerConnection::closeIfIdle()
{
    if (!isIdle()) {
        return;
    }
    asio::error_code ignored;
    const bool hasUnreadBytes = m_socket.available(ignored) > 0;
    if (!hasUnreadBytes && std::chrono::steady_clock::now() - idleSince() >= MinIdleTime) {
        tryCloseUnread();
    }
}

// A request that crosses the close is left unread, so that its caller gets a reset and knows that it may send it again. A reset could
// take the last response with it, so that has to have arrived.
bool ServerConnection::tryCloseUnread()
{
    int unacknowledged = 0;
    const bool isKnown = ::ioctl(m_socket.native_handle(), SIOCOUTQ, &unacknowledged) == 0;
    if (!m_writes.isEmpty() || (isKnown && unacknowledged > 0)) {
        return false;
    }
    close();
    return true;
}

// The timer of an idle connection was set when it became idle.
Instant ServerConnection::idleSince() const
{
    return m_timer.expiry() - m_limits.idleTimeout - IdleTimeoutMargin;
}

ConnectionActivity ServerConnection::activity() const
{
    asio::error_code ignored;
    if (isIdle() && m_writes.isEmpty() && m_socket.available(ignored) == 0) {
        return {ConnectionActivity::State::Idle, idleSince()};
    }
    if (m_stage == Stage::Reading && m_parser.isInsideMessage()) {
        return {ConnectionActivity::State::ReceivingRequest, m_memory.lastProgressAt()};
    }
    return {};
}

bool ServerConnection::isIdle() const
{
    return m_stage == Stage::Reading && !m_parser.isInsideMessage() && m_unparsed.empty();
}

bool ServerConnection::isBusy() const
{
    return m_stage == Stage::Responding || (m_stage == Stage::Reading && !isIdle());
}

bool ServerConnection::hasDisconnected()
{
    if (m_stage == Stage::Closed) {
        return true;
    }
    char next = 0;
    const ssize_t n = ::recv(m_socket.native_handle(), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

std::size_t ServerConnection::unsentBytes() const
{
    return m_writes.size();
}

bool ServerConnection::hasMemoryFor(std::size_t bytes)
{
    return m_writes.isEmpty() || m_memory.tryResize(heldBytes() + bytes, std::chrono::steady_clock::now());
}

void ServerConnection::finishResponse()
{
    m_onDisconnect = nullptr;
    m_isChunked = false;
    // A caller that hasn't been told may already have sent its next request, whose response tells it then.
    if (m_closesAfterResponse) {
        beginLingeringClose();
        return;
    }
    m_stage = Stage::Reading;
    armTimer(m_limits.idleTimeout + IdleTimeoutMargin);
    if (!m_unparsed.empty()) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            if (self->m_stage == Stage::Reading) {
                self->parse();
                self->read();
            }
        });
    }
}

void ServerConnection::enqueue(std::string bytes)
{
    m_writes.push(std::move(bytes));
    updateMemory();
    flush();
}

void ServerConnection::flush()
{
    if (m_isWriting || m_writes.isEmpty() || m_stage == Stage::Closed) {
        return;
    }
    m_isWriting = true;
    m_socket.async_write_some(asio::buffer(m_writes.front()),
                              [self = shared_from_this()](const asio::error_code &ec, std::size_t n) { self->onWritten(ec, n); });
}

void ServerConnection::onWritten(const asio::error_code &ec, std::size_t n)
{
    m_isWriting = false;
    m_writes.removeWritten(n);
    if (ec) {
        handleDisconnect();
        return;
    }
    if (m_stage == Stage::Closed) {
        return;
    }
    m_memory.noteProgress(n, std::chrono::steady_clock::now());
    updateMemory();
    if (m_stage == Stage::Closing) {
        awaitCallersClose();
    }
    flush();
    if (m_stage == Stage::Reading && !m_unparsed.empty() && !m_parser.isInsideMessage()) {
        // Pipelined requests wait for the caller to read, so its idle time begins anew.
        armTimer(m_limits.idleTimeout + IdleTimeoutMargin);
        parse();
        read();
    }
}

void ServerConnection::beginLingeringClose()
{
    m_stage = Stage::Closing;
    m_isReadingPaused = false;
    std::string().swap(m_unparsed);
    updateMemory();
    awaitCallersClose();
    read();
}

// A slow caller may take long to read a large response, so the time counts from its last progress.
void ServerConnection::awaitCallersClose()
{
    if (!m_writes.isEmpty()) {
        armTimer(UnreadTimeout);
        return;
    }
    asio::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    armTimer(LingerTimeout);
}

void ServerConnection::close()
{
    if (m_stage == Stage::Closed) {
        return;
    }
    m_stage = Stage::Closed;
    m_timer.cancel();
    asio::error_code ignored;
    m_socket.close(ignored);
    releaseRequest();
    std::string().swap(m_unparsed);
    m_writes = {};
    updateMemory();
    m_hooks.onClosed(this);
}

void ServerConnection::handleDisconnect()
{
    const auto onDisconnect = std::move(m_onDisconnect);
    m_onDisconnect = nullptr;
    close();
    if (onDisconnect) {
        onDisconnect();
    }
}

void ServerConnection::armTimer(Milliseconds after)
{
    m_timer.expires_after(after);
    m_timer.async_wait([self = weak_from_this()](const asio::error_code &ec) {
        const auto it = self.lock();
        if (!ec && it) {
            it->onTimer();
        }
    });
}

void ServerConnection::onTimer()
{
    if (m_stage == Stage::Closing) {
        close();
    } else if (m_stage == Stage::Reading && m_parser.isInsideMessage()) {
        rejectRequest(408);
    } else if (m_stage == Stage::Reading && !tryCloseUnread()) {
        armTimer(LingerTimeout);
    }
}

} // namespace flamingo
