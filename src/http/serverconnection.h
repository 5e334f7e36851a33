#pragma once

#include "core/time.h"
#include "http/messagehead.h"
#include "http/messageparser.h"

#include <asio.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace flamingo
{

/// What a caller may send, and how long it may take.
struct ConnectionLimits {
    std::size_t maxHeadBytes = 16384;
    std::size_t maxBodyBytes = std::size_t(4) * 1024 * 1024;
    Milliseconds headTimeout{3000}; ///< From the first byte of a request to the end of its head.
    Milliseconds idleTimeout{15000}; ///< Between two requests, and between two reads of a body.
};

/// A whole request.
struct ServerRequest {
    MessageHead head;
    std::string body;
    Instant arrivedAt; ///< When its head was complete.
};

class ServerConnection;
using ServerConnectionPtr = std::shared_ptr<ServerConnection>;

/// What a listener's owner does with requests.
struct ServerHooks {
    /// A whole request has arrived; it is to be answered on this connection.
    std::function<void(ServerConnectionPtr connection, ServerRequest request)> onRequest;
    /// The limits in force for the next request.
    std::function<ConnectionLimits()> limits;
    /// The connection has ended and is about to be released.
    std::function<void(ServerConnection *connection)> onClosed;
};

/// A caller's connection. One request is answered at a time, those behind it wait. It goes on reading while a request is
/// being answered, so that a caller that leaves is noticed at once. RESTinio doesn't show that, nor does it let a
/// streamed answer be broken off, hence Asio and the parser that RESTinio itself uses.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(asio::ip::tcp::socket socket, const ServerHooks &hooks);

    void start();

    /// Called once if the caller leaves before its answer is complete.
    void setDisconnectHandler(std::function<void()> onDisconnect);

    /// Sends a whole answer.
    void respond(int status, const HeaderFields &fields, std::string_view body);

    /// Begins an answer that is sent in pieces; its length is given, or it is sent in chunks when length is negative.
    void startStream(int status, const HeaderFields &fields, long long length);
    void write(std::string_view bytes);
    void finishStream();

    /// Ends the connection without completing the answer, so that the caller sees that it broke off.
    void abort();

    /// Whether answers from now on say that the connection will close, and close it.
    void setClosing(bool isClosing);

    /// Closes now if no request has begun to arrive.
    void closeIfIdle();

    bool isIdle() const;

    /// Whether a request is arriving or being answered.
    bool isBusy() const;

    /// Bytes that wait to be sent.
    std::size_t unsentBytes() const;

private:
    enum class Stage { Reading, Responding, Closing, Closed };

    void read();
    void onRead(std::size_t n);
    void parse();
    void onHead();
    void onRequestComplete();
    void rejectRequest(int status);
    void finishResponse();
    void enqueue(std::string bytes);
    void flush();
    void onWritten(const asio::error_code &ec, std::size_t n);
    void beginLingeringClose();
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
    std::deque<std::string> m_writes;
    std::size_t m_unsentBytes = 0;
    std::function<void()> m_onDisconnect;
    Stage m_stage = Stage::Reading;
    bool m_isWriting = false;
    bool m_isReading = false;
    bool m_isChunked = false;
    bool m_closesAfterResponse = false; ///< For this answer, since the caller wants it.
    bool m_isClosing = false; ///< For each answer.
    bool m_isParsing = false;
};

/// Accepts connections on one address.
class ServerListener
{
public:
    /// Throws std::exception when the address can't be listened on.
    ServerListener(asio::io_context &context, const asio::ip::tcp::endpoint &address, std::function<void(asio::ip::tcp::socket)> onAccept);

    void close();

private:
    void accept();

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_retryTimer;
    std::function<void(asio::ip::tcp::socket)> m_onAccept;
};

} // namespace flamingo
