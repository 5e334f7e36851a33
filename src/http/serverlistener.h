#pragma once

// Asio's configuration depends on macros of the standard library, so one of its headers has to come first.
#include <functional>

#include <asio.hpp>

namespace flamingo
{

/// Accepts connections on one address.
class ServerListener
{
public:
    /// Throws std::exception if it cannot listen on the address.
    ServerListener(asio::io_context &context, const asio::ip::tcp::endpoint &address, std::function<void(asio::ip::tcp::socket)> onAccept);

    /// Takes no new connections. Those whose handshake has begun are still accepted, shortly before the port closes.
    void close();

    /// Whether the port is still open, since connections may be about to be accepted.
    bool isOpen() const;

private:
    void accept();
    bool tryIgnoreNewHandshakes();
    void acceptWaiting();

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_retryTimer;
    asio::steady_timer m_closeTimer;
    bool m_isClosing = false;
    std::function<void(asio::ip::tcp::socket)> m_onAccept;
};

} // namespace flamingo
