#include "peerlink/peerlink.h"

#include "core/sha256.h"

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

// Frames begin with one byte that says what they are.
enum class Frame : char { Hello = 'H', Proof = 'P', Heartbeat = 'B', Message = 'M' };

std::string makeFrame(Frame frame, const std::string &payload = {})
{
    return static_cast<char>(frame) + payload;
}
} // namespace

struct PeerLink::Private {
    struct Link {
        LinkId id = 0;
        std::string address; ///< Empty for a link that the peer opened.
        websocketpp::connection_hdl handle;
        bool isOpen = false;
        bool isProven = false; ///< The peer holds the secret.
        std::string nonce;
        std::vector<std::string> queued;
        Instant lastArrival;
        Instant lastMessage;
    };
    using LinkPtr = std::shared_ptr<Link>;

    Private(Settings s, MessageHandler messageHandler, DownHandler downHandler)
        : settings(std::move(s))
        , onMessage(std::move(messageHandler))
        , onDown(std::move(downHandler))
        , heartbeatTimer(io)
    {
    }

    template<typename Endpoint>
    void prepare(Endpoint &endpoint);
    void listen();
    void dial(const LinkPtr &link);
    LinkPtr addLink(LinkId id, const std::string &address);
    LinkPtr find(const websocketpp::connection_hdl &handle) const;
    void setHandle(const LinkPtr &link, const websocketpp::connection_hdl &handle);
    void open(const websocketpp::connection_hdl &handle);
    void receive(const websocketpp::connection_hdl &handle, const std::string &frame);
    void receiveHello(const LinkPtr &link, const std::string &payload);
    void receiveProof(const LinkPtr &link, const std::string &payload);
    void enqueue(const LinkPtr &link, std::string frame);
    void transmit(const LinkPtr &link, const std::string &frame);
    void drop(const LinkPtr &link);
    void scheduleHeartbeat();
    void beat();
    std::string proofFor(const std::string &nonce, bool byDialler) const;

    Settings settings;
    MessageHandler onMessage;
    DownHandler onDown;
    asio::io_context io;
    asio::steady_timer heartbeatTimer;
    Server server;
    Client client;
    std::map<LinkId, LinkPtr> links;
    std::map<websocketpp::connection_hdl, LinkPtr, std::owner_less<websocketpp::connection_hdl>> linkByHandle;
    std::atomic<LinkId> lastId{0};
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> received{0};
    bool isStopping = false;
    std::thread thread;
    std::map<std::string, LinkId> dialledIds; ///< Guarded by the mutex: the id that sendTo gives out for an address.
    std::mutex mutex;
};

template<typename Endpoint>
void PeerLink::Private::prepare(Endpoint &endpoint)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&io);
    endpoint.set_max_message_size(MaxMessageBytes);
    endpoint.set_open_handler([this](const websocketpp::connection_hdl &handle) { open(handle); });
    endpoint.set_message_handler(
        [this](const websocketpp::connection_hdl &handle, const typename Endpoint::message_ptr &message) { receive(handle, message->get_payload()); });
    const auto onGone = [this](const websocketpp::connection_hdl &handle) {
        if (const LinkPtr link = find(handle)) {
            drop(link);
        }
    };
    endpoint.set_close_handler(onGone);
    endpoint.set_fail_handler(onGone);
}

void PeerLink::Private::listen()
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

PeerLink::Private::LinkPtr PeerLink::Private::addLink(LinkId id, const std::string &address)
{
    auto link = std::make_shared<Link>();
    link->id = id;
    link->address = address;
    link->lastArrival = std::chrono::steady_clock::now();
    link->lastMessage = link->lastArrival;
    links[link->id] = link;
    return link;
}

void PeerLink::Private::dial(const LinkPtr &link)
{
    websocketpp::lib::error_code ec;
    const auto connection = client.get_connection("ws://" + link->address + "/peer", ec);
    if (ec) {
        drop(link);
        return;
    }
    setHandle(link, connection->get_handle());
    connection->set_open_handshake_timeout(static_cast<long>(settings.silence.count()));
    client.connect(connection);
}

PeerLink::Private::LinkPtr PeerLink::Private::find(const websocketpp::connection_hdl &handle) const
{
    const auto it = linkByHandle.find(handle);
    return it == linkByHandle.end() ? nullptr : it->second;
}

void PeerLink::Private::setHandle(const LinkPtr &link, const websocketpp::connection_hdl &handle)
{
    link->handle = handle;
    linkByHandle[handle] = link;
}

void PeerLink::Private::open(const websocketpp::connection_hdl &handle)
{
    LinkPtr link = find(handle);
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
    link->lastArrival = std::chrono::steady_clock::now();
    link->nonce = randomBytes(NonceBytes);
    transmit(link, makeFrame(Frame::Hello, static_cast<char>(ProtocolVersion) + link->nonce));
}

std::string PeerLink::Private::proofFor(const std::string &nonce, bool byDialler) const
{
    return hmacSha256(settings.secret, (byDialler ? "dialler" : "listener") + nonce);
}

void PeerLink::Private::receive(const websocketpp::connection_hdl &handle, const std::string &frame)
{
    const LinkPtr link = find(handle);
    if (!link || frame.empty()) {
        return;
    }
    received += frame.size();
    link->lastArrival = std::chrono::steady_clock::now();
    const std::string payload = frame.substr(1);
    switch (static_cast<Frame>(frame[0])) {
    case Frame::Hello:
        receiveHello(link, payload);
        break;
    case Frame::Proof:
        receiveProof(link, payload);
        break;
    case Frame::Heartbeat:
        break;
    case Frame::Message:
        if (link->isProven) {
            link->lastMessage = link->lastArrival;
            auto message = decodeMessage(payload);
            if (message) {
                onMessage(link->id, std::move(*message));
            }
        }
        break;
    }
}

void PeerLink::Private::receiveHello(const LinkPtr &link, const std::string &payload)
{
    if (payload.size() != NonceBytes + 1 || payload[0] != static_cast<char>(ProtocolVersion)) {
        drop(link);
        return;
    }
    transmit(link, makeFrame(Frame::Proof, proofFor(payload.substr(1), !link->address.empty())));
}

void PeerLink::Private::receiveProof(const LinkPtr &link, const std::string &payload)
{
    if (!isEqualConstantTime(payload, proofFor(link->nonce, link->address.empty()))) {
        drop(link);
        return;
    }
    link->isProven = true;
    for (const std::string &frame : std::exchange(link->queued, {})) {
        transmit(link, frame);
    }
}

void PeerLink::Private::enqueue(const LinkPtr &link, std::string frame)
{
    link->lastMessage = std::chrono::steady_clock::now();
    if (link->isProven) {
        transmit(link, frame);
    } else if (link->queued.size() < MaxQueuedMessages) {
        link->queued.push_back(std::move(frame));
    } else {
        drop(link);
    }
}

void PeerLink::Private::transmit(const LinkPtr &link, const std::string &frame)
{
    websocketpp::lib::error_code ec;
    sent += frame.size();
    if (link->address.empty()) {
        server.send(link->handle, frame, websocketpp::frame::opcode::binary, ec);
    } else {
        client.send(link->handle, frame, websocketpp::frame::opcode::binary, ec);
    }
    if (ec) {
        drop(link);
    }
}

void PeerLink::Private::drop(const LinkPtr &link)
{
    if (links.erase(link->id) == 0) {
        return;
    }
    linkByHandle.erase(link->handle);
    {
        const std::lock_guard<std::mutex> lock(mutex);
        const auto it = dialledIds.find(link->address);
        if (it != dialledIds.end() && it->second == link->id) {
            dialledIds.erase(it);
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
        onDown(link->id);
    }
}

void PeerLink::Private::scheduleHeartbeat()
{
    heartbeatTimer.expires_after(settings.heartbeat);
    heartbeatTimer.async_wait([this](const asio::error_code &ec) {
        if (!ec && !isStopping) {
            beat();
            scheduleHeartbeat();
        }
    });
}

void PeerLink::Private::beat()
{
    const Instant now = std::chrono::steady_clock::now();
    std::vector<LinkPtr> gone;
    for (const auto &[id, link] : links) {
        const bool isSilent = now - link->lastArrival > settings.silence;
        const bool isIdle = !link->address.empty() && now - link->lastMessage > settings.idleClose;
        if (isSilent || isIdle) {
            gone.push_back(link);
        }
    }
    for (const LinkPtr &link : gone) {
        drop(link);
    }
    std::vector<LinkPtr> open;
    for (const auto &[id, link] : links) {
        if (link->isOpen) {
            open.push_back(link);
        }
    }
    for (const LinkPtr &link : open) {
        transmit(link, makeFrame(Frame::Heartbeat));
    }
}

PeerLink::PeerLink(Settings settings, MessageHandler onMessage, DownHandler onDown)
    : m_private(std::make_unique<Private>(std::move(settings), std::move(onMessage), std::move(onDown)))
{
    Private &d = *m_private;
    d.prepare(d.client);
    d.client.start_perpetual();
    d.prepare(d.server);
    if (d.settings.listenPort != 0) {
        d.listen();
    }
    d.scheduleHeartbeat();
    d.thread = std::thread([&d] { d.io.run(); });
    pthread_setname_np(d.thread.native_handle(), "peerlink");
}

PeerLink::~PeerLink()
{
    stop();
}

void PeerLink::stop()
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

LinkId PeerLink::sendTo(const std::string &address, const PeerMessage &message)
{
    Private &d = *m_private;
    LinkId id = 0;
    bool isNew = false;
    {
        const std::lock_guard<std::mutex> lock(d.mutex);
        const auto it = d.dialledIds.find(address);
        isNew = it == d.dialledIds.end();
        id = isNew ? ++d.lastId : it->second;
        d.dialledIds[address] = id;
    }
    asio::post(d.io, [&d, id, isNew, address, frame = makeFrame(Frame::Message, encodeMessage(message))]() mutable {
        auto it = d.links.find(id);
        if (it == d.links.end() && isNew) {
            d.dial(d.addLink(id, address));
            it = d.links.find(id);
        }
        if (it == d.links.end()) {
            d.onDown(id);
            return;
        }
        d.enqueue(it->second, std::move(frame));
    });
    return id;
}

void PeerLink::send(LinkId link, const PeerMessage &message)
{
    Private &d = *m_private;
    asio::post(d.io, [&d, link, frame = makeFrame(Frame::Message, encodeMessage(message))]() mutable {
        const auto it = d.links.find(link);
        if (it != d.links.end()) {
            d.enqueue(it->second, std::move(frame));
        }
    });
}

std::uint64_t PeerLink::bytesSent() const
{
    return m_private->sent;
}

std::uint64_t PeerLink::bytesReceived() const
{
    return m_private->received;
}

} // namespace flamingo
