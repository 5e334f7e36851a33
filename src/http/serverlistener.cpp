#include "http/serverlistener.h"

#include "core/log.h"
#include "core/time.h"

#include <array>
#include <cerrno>
#include <linux/filter.h>
#include <sys/socket.h>
#include <system_error>
#include <utility>

namespace flamingo
{

namespace
{
/// Delay after a failed accept, for instance when no file descriptors are left.
constexpr Milliseconds AcceptRetryDelay{50};
constexpr int ListenBacklog = 1024;
/// Handshakes that have begun when a port closes end within this time, unless the network loses their packets.
constexpr Milliseconds HandshakeTime{50};
} // namespace

ServerListener::ServerListener(asio::io_context &context, const asio::ip::tcp::endpoint &address, std::function<void(asio::ip::tcp::socket)> onAccept)
    : m_context(context)
    , m_acceptor(context)
    , m_retryTimer(context)
    , m_closeTimer(context)
    , m_onAccept(std::move(onAccept))
{
    m_acceptor.open(address.protocol());
    m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    m_acceptor.bind(address);
    m_acceptor.listen(ListenBacklog);
    accept();
}

// Closing the socket resets the connections that the kernel has established and nobody has accepted, though their callers may have
// sent requests already. Since the kernel may establish one more at any moment, it is first made to ignore new handshakes. Their
// callers repeat them, and are refused once the socket is closed.
void ServerListener::close()
{
    if (m_isClosing) {
        return;
    }
    m_isClosing = true;
    m_closeTimer.expires_after(tryIgnoreNewHandshakes() ? HandshakeTime : Milliseconds(0));
    m_closeTimer.async_wait([this](const asio::error_code &ec) {
        if (!ec) {
            acceptWaiting();
            asio::error_code ignored;
            m_acceptor.close(ignored);
            m_retryTimer.cancel();
        }
    });
}

bool ServerListener::isOpen() const
{
    return m_acceptor.is_open();
}

// Drops segments that begin a handshake (SYN without ACK) and passes all others, among them those that end a handshake. The filter
// of a TCP socket sees segments from the TCP header on.
bool ServerListener::tryIgnoreNewHandshakes()
{
    constexpr unsigned FlagsOffset = 13;
    constexpr unsigned Syn = 0x02;
    constexpr unsigned Ack = 0x10;
    constexpr unsigned WholeSegment = 0xffffffff;
    std::array<sock_filter, 5> program{sock_filter BPF_STMT(BPF_LD | BPF_B | BPF_ABS, FlagsOffset),
                                       sock_filter BPF_STMT(BPF_ALU | BPF_AND | BPF_K, Syn | Ack),
                                       sock_filter BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, Syn, 0, 1),
                                       sock_filter BPF_STMT(BPF_RET | BPF_K, 0),
                                       sock_filter BPF_STMT(BPF_RET | BPF_K, WholeSegment)};
    const sock_fprog filter{static_cast<unsigned short>(program.size()), program.data()};
    if (::setsockopt(m_acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter)) != 0) {
        logChange("handshake-filter-failed", "reason={}", std::generic_category().message(errno));
        return false;
    }
    return true;
}

void ServerListener::acceptWaiting()
{
    asio::error_code ec;
    m_acceptor.non_blocking(true, ec);
    while (!ec) {
        asio::ip::tcp::socket socket(m_context);
        m_acceptor.accept(socket, ec);
        if (!ec) {
            m_onAccept(std::move(socket));
        }
    }
}

void ServerListener::accept()
{
    if (!m_acceptor.is_open()) {
        return;
    }
    m_acceptor.async_accept([this](const asio::error_code &ec, asio::ip::tcp::socket socket) {
        if (ec == asio::error::operation_aborted) {
            return;
        }
        if (!ec) {
            m_onAccept(std::move(socket));
            accept();
            return;
        }
        logChange("accept-failed", "reason={}", ec.message());
        m_retryTimer.expires_after(AcceptRetryDelay);
        m_retryTimer.async_wait([this](const asio::error_code &waited) {
            if (!waited) {
                accept();
            }
        });
    });
}

} // namespace flamingo
