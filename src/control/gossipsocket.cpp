#include "control/gossipsocket.h"

#include "core/crypto.h"
#include "core/settingsreader.h"

#include <asio.hpp>

#include <array>
#include <atomic>
#include <thread>

namespace flamingo
{

namespace
{
constexpr std::size_t MacBytes = 16;
constexpr std::size_t MaxDatagramBytes = 65536;
} // namespace

struct GossipSocket::Private {
    Private(std::string secretText, Handler handler)
        : socket(io)
        , secret(std::move(secretText))
        , onDatagram(std::move(handler))
    {
    }

    void receive();
    void handleDatagram(std::size_t n);

    asio::io_context io;
    asio::ip::udp::socket socket;
    asio::ip::udp::endpoint sender;
    std::array<char, MaxDatagramBytes> buf{};
    std::string secret;
    Handler onDatagram;
    std::atomic<std::uint64_t> sent{0};
    std::thread thread;
};

void GossipSocket::Private::receive()
{
    socket.async_receive_from(asio::buffer(buf), sender, [this](const asio::error_code &ec, std::size_t n) {
        if (ec == asio::error::operation_aborted) {
            return;
        }
        if (!ec) {
            handleDatagram(n);
        }
        receive();
    });
}

void GossipSocket::Private::handleDatagram(std::size_t n)
{
    if (n <= MacBytes) {
        return;
    }
    const std::string payload(buf.data() + MacBytes, n - MacBytes);
    const std::string mac = hmacSha256(secret, payload).substr(0, MacBytes);
    if (isEqualConstantTime(mac, {buf.data(), MacBytes})) {
        onDatagram(payload);
    }
}

GossipSocket::GossipSocket(const std::string &host, std::uint16_t port, std::string secret, Handler onDatagram)
    : m_private(std::make_unique<Private>(std::move(secret), std::move(onDatagram)))
{
    const asio::ip::udp::endpoint endpoint(asio::ip::make_address(host), port);
    m_private->socket.open(endpoint.protocol());
    m_private->socket.bind(endpoint);
    m_private->receive();
    m_private->thread = std::thread([this] { m_private->io.run(); });
}

GossipSocket::~GossipSocket()
{
    m_private->io.stop();
    m_private->thread.join();
}

void GossipSocket::send(const std::string &address, const std::string &payload)
{
    const auto to = parseSocketAddress(address);
    if (!to) {
        return;
    }
    std::string datagram = hmacSha256(m_private->secret, payload).substr(0, MacBytes) + payload;
    asio::post(m_private->io, [d = m_private.get(), to = *to, datagram = std::move(datagram)] {
        asio::error_code ec;
        const auto ip = asio::ip::make_address(to.host, ec);
        if (!ec) {
            d->socket.send_to(asio::buffer(datagram), asio::ip::udp::endpoint(ip, to.port), 0, ec);
            d->sent += datagram.size();
        }
    });
}

std::uint64_t GossipSocket::bytesSent() const
{
    return m_private->sent;
}

} // namespace flamingo
