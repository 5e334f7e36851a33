#include "peerlink/peertransport.h"

#include "core/crypto.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <atomic>
#include <future>
#include <map>
#include <thread>
#include <vector>

namespace flamingo
{

namespace
{
constexpr int ProtocolVersion = 1;
constexpr std::size_t NonceBytes = 32;
constexpr std::size_t MaxMessageBytes = std::size_t(32) * 1024 * 1024;
constexpr std::size_t MaxQueuedMessages = 4096;

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;

// The first byte of a frame gives its type.
enum class FrameType : char { Hello = 'H', Proof = 'P', Heartbeat = 'B', Message = 'M' };

std::string makeFrame(FrameType type, const std::string &payload = {})
{
    return static_cast<char>(type) + payload;
}
} // namespace

struct PeerTransport::Private {
    struct Link {
        LinkId id = 0;
        std::string address; ///< Empty for a link that the peer opened.
        websocketpp::connection_hdl handle;
        bool isOpen = false;
        bool isAuthenticated = false; ///< The peer has proved that it holds the secret.
        std::string nonce;
        std::vector<std::string> queuedFrames;
        Instant lastReceivedAt;
        Instant lastMessageAt;
    };
    using LinkPtr = std::shared_ptr<Link>;

    Private(Settings s, MessageHandler messageHandler, LinkDownHandler linkDownHandler)
        : settings(std::move(s))
        , onMessage(std::move(messageHandler))
        , onLinkDown(std::move(linkDownHandler))
        , heartbeatTimer(io)
    {
    }

    template<typename Endpoint>
    void configure(Endpoint &endpoint);
    void listen();
    void dial(const LinkPtr &link);
    LinkPtr addLink(LinkId id, const std::string &address);
    LinkPtr findLink(const websocketpp::connection_hdl &handle) const;
    void setHandle(const LinkPtr &link, const websocketpp::connection_hdl &handle);
    void onOpen(const websocketpp::connection_hdl &handle);
    void onFrame(const websocketpp::connection_hdl &handle, const std::string &frame);
    void onHello(const LinkPtr &link, const std::string &payload);
    void onProof(const LinkPtr &link, const std::string &payload);
    void enqueue(const LinkPtr &link, std::string frame);
    void transmit(const LinkPtr &link, const std::string &frame);
    void dropLink(const LinkPtr &link);
    void scheduleHeartbeat();
    void onHeartbeatTimer();
    std::string computeProof(const std::string &nonce, bool isDialler) const;

    Settings settings;
    MessageHandler onMessage;
    LinkDownHandler onLinkDown;
    asio::io_context io;
    asio::steady_timer heartbeatTimer;
    Server server;
    Client client;
    std::map<LinkId, LinkPtr> links;
    std::map<websocketpp::connection_hdl, LinkPtr, std::owner_less<websocketpp::connection_hdl>> linkByHandle;
    std::atomic<LinkId> lastId{0};
    std::atomic<std::uint64_t> bytesSent{0};
    std::atomic<std::uint64_t> bytesReceived{0};
    bool isStopping = false;
    std::thread thread;
    std::map<std::string, LinkId> linkIdByAddress; ///< Links opened by sendTo(). Guarded by the mutex.
    std::mutex mutex;
};

template<typename Endpoint>
void PeerTransport::Private::configure(Endpoint &endpoint)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&io);
    endpoint.set_max_message_size(MaxMessageBytes);
    endpoint.set_open_handler([this](const websocketpp::connection_hdl &handle) { onOpen(handle); });
    endpoint.set_message_handler(
        [this](const websocketpp::connection_hdl &handle, const typename Endpoint::message_ptr &message) { onFrame(handle, message->get_payload()); });
    const auto onClosed = [this](const websocketpp::connection_hdl &handle) {
        if (const LinkPtr link = findLink(handle)) {
            dropLink(link);
        }
    };
    endpoint.set_close_handler(onClosed);
    endpoint.set_fail_handler(onClosed);
}

void PeerTransport::Private::listen()
{
    server.set_reuse_addr(true);
    server.set_tcp_pre_init_handler([this](const websocketpp::connection_hdl &handle) {
        websocketpp::lib::error_code ec;
        const auto connection = server.get_con_from_hdl(handle, ec);
        if (!ec) {
            connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true), ec);
        }
    });
    server.listen(asio::ip::tcp::endpoint(asio::ip::make_address(settings.listenAddress), settings.listenPort));
    server.start_accept();
}

PeerTransport::Private::LinkPtr PeerTransport::Private::addLink(LinkId id, const std::string &address)
{
    auto link = std::make_shared<Link>();
    link->id = id;
    link->address = address;
    link->lastReceivedAt = std::chrono::steady_clock::now();
    link->lastMessageAt = link->lastReceivedAt;
    links[link->id] = link;
    return link;
}

void PeerTransport::Private::dial(const LinkPtr &link)
{
    websocketpp::lib::error_code ec;
    const auto connection = client.get_connection("ws://" + link->address + "/peer", ec);
    if (ec) {
        dropLink(link);
        return;
    }
    setHandle(link, connection->get_handle());
    connection->set_open_handshake_timeout(static_cast<long>(settings.silenceTimeout.count()));
    client.connect(connection);
}

PeerTransport::Private::LinkPtr PeerTransport::Private::findLink(const websocketpp::connection_hdl &handle) const
{
    const auto it = linkByHandle.find(handle);
    return it == linkByHandle.end() ? nullptr : it->second;
}

void PeerTransport::Private::setHandle(const LinkPtr &link, const websocketpp::connection_hdl &handle)
{
    link->handle = handle;
    linkByHandle[handle] = link;
}

void PeerTransport::Private::onOpen(const websocketpp::connection_hdl &handle)
{
    LinkPtr link = findLink(handle);
    if (!link) {
        link = addLink(++lastId, {});
        setHandle(link, handle);
    }
    if (!link->address.empty()) {
        websocketpp::lib::error_code ec;
        const auto connection = client.get_con_from_hdl(handle, ec);
        if (!ec) {
            connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true), ec);
        }
    }
    link->isOpen = true;
    link->lastReceivedAt = std::chrono::steady_clock::now();
    link->nonce = randomBytes(NonceBytes);
    transmit(link, makeFrame(FrameType::Hello, static_cast<char>(ProtocolVersion) + link->nonce));
}

std::string PeerTransport::Private::computeProof(const std::string &nonce, bool isDialler) const
{
    return hmacSha256(settings.secret, (isDialler ? "dialler" : "listener") + nonce);
}

void PeerTransport::Private::onFrame(const websocketpp::connection_hdl &handle, const std::string &frame)
{
    const LinkPtr link = findLink(handle);
    if (!link || frame.empty()) {
        return;
    }
    bytesReceived += frame.size();
    link->lastReceivedAt = std::chrono::steady_clock::now();
    const std::string payload = frame.substr(1);
    switch (static_cast<FrameType>(frame[0])) {
    case FrameType::Hello:
        onHello(link, payload);
        break;
    case FrameType::Proof:
        onProof(link, payload);
        break;
    case FrameType::Heartbeat:
        break;
    case FrameType::Message:
        if (link->isAuthenticated) {
            link->lastMessageAt = link->lastReceivedAt;
            auto message = decodeMessage(payload);
            if (message) {
                onMessage(link->id, std::move(*message));
            }
        }
        break;
    }
}

void PeerTransport::Private::onHello(const LinkPtr &link, const std::string &payload)
{
    if (payload.size() != NonceBytes + 1 || payload[0] != static_cast<char>(ProtocolVersion)) {
        dropLink(link);
        return;
    }
    transmit(link, makeFrame(FrameType::Proof, computeProof(payload.substr(1), !link->address.empty())));
}

void PeerTransport::Private::onProof(const LinkPtr &link, const std::string &payload)
{
    if (!isEqualConstantTime(payload, computeProof(link->nonce, link->address.empty()))) {
        dropLink(link);
        return;
    }
    link->isAuthenticated = true;
    for (const std::string &frame : std::exchange(link->queuedFrames, {})) {
        transmit(link, frame);
    }
}

void PeerTransport::Private::enqueue(const LinkPtr &link, std::string frame)
{
    link->lastMessageAt = std::chrono::steady_clock::now();
    if (link->isAuthenticated) {
        transmit(link, frame);
    } else if (link->queuedFrames.size() < MaxQueuedMessages) {
        link->queuedFrames.push_back(std::move(frame));
    } else {
        dropLink(link);
    }
}

void PeerTransport::Private::transmit(const LinkPtr &link, const std::string &frame)
{
    websocketpp::lib::error_code ec;
    bytesSent += frame.size();
    if (link->address.empty()) {
        server.send(link->handle, frame, websocketpp::frame::opcode::binary, ec);
    } else {
        client.send(link->handle, frame, websocketpp::frame::opcode::binary, ec);
    }
    if (ec) {
        dropLink(link);
    }
}

void PeerTransport::Private::dropLink(const LinkPtr &link)
{
    if (links.erase(link->id) == 0) {
        return;
    }
    linkByHandle.erase(link->handle);
    {
        const std::lock_guard<std::mutex> lock(mutex);
        const auto it = linkIdByAddress.find(link->address);
        if (it != linkIdByAddress.end() && it->second == link->id) {
            linkIdByAddress.erase(it);
        }
    }
    websocketpp::lib::error_code ec;
    if (link->address.empty()) {
        const auto connection = server.get_con_from_hdl(link->handle, ec);
        if (!ec) {
            connection->terminate(ec);
        }
    } else {
        const auto connection = client.get_con_from_hdl(link->handle, ec);
        if (!ec) {
            connection->terminate(ec);
        }
    }
    if (!isStopping) {
        onLinkDown(link->id);
    }
}

void PeerTransport::Private::scheduleHeartbeat()
{
    heartbeatTimer.expires_after(settings.heartbeatPeriod);
    heartbeatTimer.async_wait([this](const asio::error_code &ec) {
        if (!ec && !isStopping) {
            onHeartbeatTimer();
            scheduleHeartbeat();
        }
    });
}

void PeerTransport::Private::onHeartbeatTimer()
{
    const Instant now = std::chrono::steady_clock::now();
    std::vector<LinkPtr> expired;
    for (const auto &[id, link] : links) {
        const bool isSilent = now - link->lastReceivedAt > settings.silenceTimeout;
        const bool isIdle = !link->address.empty() && now - link->lastMessageAt > settings.idleTimeout;
        if (isSilent || isIdle) {
            expired.push_back(link);
        }
    }
    for (const LinkPtr &link : expired) {
        dropLink(link);
    }
    std::vector<LinkPtr> open;
    for (const auto &[id, link] : links) {
        if (link->isOpen) {
            open.push_back(link);
        }
    }
    for (const LinkPtr &link : open) {
        transmit(link, makeFrame(FrameType::Heartbeat));
    }
}

PeerTransport::PeerTransport(Settings settings, MessageHandler onMessage, LinkDownHandler onLinkDown)
    : m_private(std::make_unique<Private>(std::move(settings), std::move(onMessage), std::move(onLinkDown)))
{
    Private &d = *m_private;
    d.configure(d.client);
    d.client.start_perpetual();
    d.configure(d.server);
    if (d.settings.listenPort != 0) {
        d.listen();
    }
    d.scheduleHeartbeat();
    d.thread = std::thread([&d] { d.io.run(); });
    pthread_setname_np(d.thread.native_handle(), "peerlink");
}

PeerTransport::~PeerTransport()
{
    stop();
}

void PeerTransport::stop()
{
    Private &d = *m_private;
    if (!d.thread.joinable()) {
        return;
    }
    asio::post(d.io, [&d] {
        d.isStopping = true;
        d.heartbeatTimer.cancel();
        websocketpp::lib::error_code ec;
        if (d.settings.listenPort != 0) {
            d.server.stop_listening(ec);
        }
        d.client.stop_perpetual();
        const auto links = d.links;
        for (const auto &[id, link] : links) {
            if (link->address.empty()) {
                d.server.close(link->handle, websocketpp::close::status::going_away, "", ec);
            } else {
                d.client.close(link->handle, websocketpp::close::status::going_away, "", ec);
            }
        }
        auto deadline = std::make_shared<asio::steady_timer>(d.io, std::chrono::milliseconds(200));
        deadline->async_wait([&d, deadline](const asio::error_code &) { d.io.stop(); });
    });
    d.thread.join();
}

LinkId PeerTransport::sendTo(const std::string &address, const PeerMessage &message)
{
    Private &d = *m_private;
    LinkId id = 0;
    bool isNew = false;
    {
        const std::lock_guard<std::mutex> lock(d.mutex);
        const auto it = d.linkIdByAddress.find(address);
        isNew = it == d.linkIdByAddress.end();
        id = isNew ? ++d.lastId : it->second;
        d.linkIdByAddress[address] = id;
    }
    asio::post(d.io, [&d, id, isNew, address, frame = makeFrame(FrameType::Message, encodeMessage(message))]() mutable {
        auto it = d.links.find(id);
        if (it == d.links.end() && isNew) {
            d.dial(d.addLink(id, address));
            it = d.links.find(id);
        }
        if (it == d.links.end()) {
            d.onLinkDown(id);
            return;
        }
        d.enqueue(it->second, std::move(frame));
    });
    return id;
}

void PeerTransport::send(LinkId link, const PeerMessage &message)
{
    Private &d = *m_private;
    asio::post(d.io, [&d, link, frame = makeFrame(FrameType::Message, encodeMessage(message))]() mutable {
        const auto it = d.links.find(link);
        if (it != d.links.end()) {
            d.enqueue(it->second, std::move(frame));
        }
    });
}

std::uint64_t PeerTransport::bytesSent() const
{
    return m_private->bytesSent;
}

std::uint64_t PeerTransport::bytesReceived() const
{
    return m_private->bytesReceived;
}

} // namespace flamingo
