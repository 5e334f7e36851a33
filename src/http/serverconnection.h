#pragma once

#include "core/time.h"
#include "http/connectionbounds.h"
#include "http/memoryaccount.h"
#include "http/messagehead.h"
#include "http/messageparser.h"
#include "http/writequeue.h"

#include <asio.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace flamingo
{

/// Limits on the size of requests and the time they take to arrive.
struct ConnectionLimits {
    std::size_t maxHeadBytes = 16384;
    std::size_t maxBodyBytes = std::size_t(4) * 1024 * 1024;
    Milliseconds headTimeout{3000}; ///< From the first byte of a request to the end of its head.
    Milliseconds idleTimeout{15000}; ///< Between two requests, and from the head of a request to the end of its body.
};

/// A complete request.
struct ServerRequest {
    MessageHead head;
    std::string body;
    Instant arrivedAt; ///< When the head was complete.
    std::shared_ptr<MemoryHolder> memory; ///< What the request holds, until it is released; null where memory isn't bounded.
};

class ServerConnection;
using ServerConnectionPtr = std::shared_ptr<ServerConnection>;

/// Callbacks of a server connection.
struct ServerHooks {
    /// Called when a complete request has arrived. The response is sent on this connection.
    std::function<void(ServerConnectionPtr connection, ServerRequest request)> onRequest;
    /// Returns the limits for the next request.
    std::function<ConnectionLimits()> limits;
    /// Called when the connection has been closed, before it is released.
    std::function<void(ServerConnection *connection)> onClosed;
    ConnectionBounds bounds;
};

/// A caller's connection. Requests are answered one at a time; pipelined requests wait. The connection continues to
/// read while a request is being answered, so that a disconnect of the caller is detected immediately. RESTinio neither
/// reports disconnects nor can it abort a streamed response, so this class uses Asio and the same parser as RESTinio.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(asio::ip::tcp::socket socket, const ServerHooks &hooks);

    /// Begins to read. Returns false, without effect, if there is no memory for the connection.
    bool start();

    /// Sets a handler that is called once if the caller disconnects before the response is complete.
    void setDisconnectHandler(std::function<void()> onDisconnect);

    /// Sends a complete response.
    void respond(int status, const HeaderFields &fields, std::string body);

    /// Begins a response whose body is sent in parts. length is the size of the body in bytes; if it is negative, the
    /// chunked transfer coding is used.
    void startStream(int status, const HeaderFields &fields, long long length);
    void write(std::string_view bytes);
    void finishStream();

    /// Closes the connection without completing the response, so that the caller can detect the truncation.
    void abort();

    /// Sets whether responses from now on announce that the connection will close, and close it.
    void setClosing(bool isClosing);

    /// Closes the connection if no request has begun to arrive.
    void closeIfIdle();

    /// Whether the connection is open and no request is arriving or being answered.
    bool isIdle() const;

    /// Whether a request is arriving or being answered.
    bool isBusy() const;

    /// Whether the other side has closed the connection, also if that hasn't been read yet.
    bool hasDisconnected();

    ConnectionActivity activity() const;

    /// The number of bytes that wait to be sent.
    std::size_t unsentBytes() const;

    /// Whether there is memory for more bytes of a response, which the caller may leave unread.
    bool hasMemoryFor(std::size_t bytes);

private:
    enum class Stage { Reading, Responding, Closing, Closed };

    void read();
    void onRead(std::size_t n);
    void parse();
    void onHead();
    void onBody(std::string_view bytes);
    void onRequestComplete();
    void rejectRequest(int status, const HeaderFields &fields = {});
    void releaseRequest();
    void refuseForMemory();
    void onEvicted();
    bool mayParse() const;
    std::size_t heldBytes() const;
    void updateMemory();
    Instant idleSince() const;
    void finishResponse();
    void enqueue(std::string bytes);
    void flush();
    void onWritten(const asio::error_code &ec, std::size_t n);
    void beginLingeringClose();
    void awaitCallersClose();
    bool tryCloseUnread();
    void close();
    void handleDisconnect();
    void armTimer(Milliseconds after);
    void onTimer();
    std::string serializeHead(int status, const HeaderFields &fields);

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    const ServerHooks &m_hooks;
    MessageParser m_parser{MessageParser::Kind::Requests};
    ConnectionLimits m_limits;
    ServerRequest m_request;
    std::string m_unparsed;
    std::array<char, 8192> m_readBuffer;
    WriteQueue m_writes;
    MemoryHolder m_memory;
    std::size_t m_discardedBytes = 0; ///< Received while closing.
    std::function<void()> m_onDisconnect;
    Stage m_stage = Stage::Reading;
    bool m_isWriting = false;
    bool m_isReading = false;
    bool m_isReadingPaused = false; ///< There is no memory for more pipelined bytes.
    bool m_isChunked = false;
    bool m_closesAfterResponse = false; ///< For the current response, as requested by the caller.
    bool m_isClosing = false; ///< For each response.
    bool m_isParsing = false;
};

} // namespace flamingo
