#pragma once

#include "http/connectionpool.h"
#include "http/messageparser.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace flamingo::detail
{

/// One outgoing connection, which carries one request at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    ClientConnection(asio::io_context &context, ConnectionPool &pool, SocketAddress address);

    /// Sends a request, after connecting if need be. The connection must not carry another one.
    void send(ClientRequest request, ResponseHandlers handlers);

    /// Closes the connection if it still carries the request with this number. No handler is called afterwards.
    void cancel(std::uint64_t requestNumber);

    /// The number of the last request, counted from 1.
    std::uint64_t requestNumber() const;

    void close();

    /// Closes the connection without its pool, which is being destroyed.
    void detach();

    const SocketAddress &address() const;

    /// When the last response ended.
    Instant idleSince() const;

    /// Until when the peer keeps the connection open, as far as it has said so.
    Instant reusableUntil() const;

private:
    void releaseRequest();
    void connect();
    void onConnected(const asio::error_code &ec);

    template<int Option>
    void setTcpOption(int value)
    {
        asio::error_code ignored;
        m_socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, Option>(value), ignored);
    }

    void applySilenceLimit();
    void write();
    bool isRequestDelivered();
    void failUnsent(std::uint64_t requestNumber);
    void read();
    void onReadError(const asio::error_code &ec);
    void onBytes(std::string_view bytes);
    void onHead();
    void skipResponse(bool isEndUnknown, bool isForOtherRequest);
    void onBody();
    void onMessageEnd(bool hasMoreBytes);
    void complete(bool isReusable);
    void fail(RequestFailure::Kind kind, const std::string &detail);

    SocketAddress m_address;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_connectTimer;
    ConnectionPool *m_pool;
    ClientRequest m_request;
    ResponseHandlers m_handlers;
    MessageParser m_parser{MessageParser::Kind::Responses};
    std::string m_requestHead; ///< As it is sent.
    std::array<char, 8192> m_readBuffer;
    Instant m_idleSince;
    Instant m_reusableUntil;
    std::uint64_t m_requestNumber = 0;
    std::size_t m_bodyBytes = 0; ///< Of the response being read.
    int m_skippedResponses = 0;
    int m_informationalResponses = 0;
    bool m_isConnected = false;
    bool m_isBusy = false;
    bool m_isRequestWritten = false;
    bool m_isClosed = false;
    bool m_isSkippingResponse = false;
    bool m_hasResponse = false;
    bool m_isReused = false;
};

} // namespace flamingo::detail
