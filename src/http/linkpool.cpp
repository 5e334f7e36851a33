#include "http/linkpool.h"

#include "http/messageparser.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <netinet/tcp.h>

namespace flamingo
{

namespace
{
/// Answers of earlier calls that are skipped on one connection before it is given up.
constexpr int MaxSkippedAnswers = 2;
/// Part of the peer's own idle limit after which a kept connection isn't used any more, since the peer may be closing it.
constexpr int IdleLimitPercent = 70;
constexpr Milliseconds DefaultKeepTime{4000};
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

/// The "timeout" of a Keep-Alive field, a little shortened; the default when there is none.
Milliseconds keepTime(const MessageHead &head)
{
    const std::string field = head.fields.value("Keep-Alive");
    const auto at = field.find("timeout=");
    if (at == std::string::npos) {
        return DefaultKeepTime;
    }
    int seconds = 0;
    const char *begin = field.data() + at + std::string_view("timeout=").size();
    std::from_chars(begin, field.data() + field.size(), seconds);
    return Milliseconds(std::clamp(seconds, 0, 3600) * 10 * IdleLimitPercent);
}
} // namespace

namespace detail
{

/// One outgoing connection.
class Link : public std::enable_shared_from_this<Link>
{
public:
    Link(asio::io_context &context, LinkPool &pool, SocketAddress address)
        : m_address(std::move(address))
        , m_socket(context)
        , m_connectTimer(context)
        , m_pool(&pool)
    {
    }

    void begin(LinkRequest request, CallHandlers handlers)
    {
        m_request = std::move(request);
        m_handlers = std::move(handlers);
        m_isBusy = true;
        ++m_callNumber;
        m_isWritten = false;
        m_hasAnswered = false;
        m_skipped = 0;
        m_out = serializeRequest(m_request.head, m_request.body.size());
        m_out += m_request.body;
        m_request.body.clear();
        if (m_isConnected) {
            m_wasReused = true;
            write();
        } else {
            connect();
        }
    }

    void cancel(std::uint64_t callNumber)
    {
        if (m_isBusy && callNumber == m_callNumber) {
            m_handlers = {};
            close();
        }
    }

    std::uint64_t callNumber() const
    {
        return m_callNumber;
    }

    void close()
    {
        if (m_isClosed) {
            return;
        }
        m_isClosed = true;
        m_connectTimer.cancel();
        asio::error_code ignored;
        m_socket.close(ignored);
        if (m_pool) {
            m_pool->forget(this);
        }
    }

    void detach()
    {
        m_pool = nullptr;
        m_handlers = {};
        close();
    }

    const SocketAddress &address() const
    {
        return m_address;
    }

    Instant idleSince() const
    {
        return m_idleSince;
    }

    Instant keptUntil() const
    {
        return m_keptUntil;
    }

private:
    void connect()
    {
        asio::error_code ec;
        const auto host = asio::ip::make_address(m_address.host, ec);
        if (ec) {
            asio::post(m_socket.get_executor(), [self = shared_from_this(), ec] { self->fail(CallFailure::Kind::NotSent, ec.message()); });
            return;
        }
        m_connectTimer.expires_after(m_request.connectTimeout);
        m_connectTimer.async_wait([self = weak_from_this()](const asio::error_code &waited) {
            const auto it = self.lock();
            if (!waited && it && !it->m_isConnected) {
                it->fail(CallFailure::Kind::NotSent, "no connection within the time limit");
            }
        });
        m_socket.async_connect({host, m_address.port}, [self = shared_from_this()](const asio::error_code &failed) { self->onConnected(failed); });
    }

    void onConnected(const asio::error_code &ec)
    {
        if (m_isClosed) {
            return;
        }
        if (ec) {
            fail(CallFailure::Kind::NotSent, ec.message());
            return;
        }
        m_connectTimer.cancel();
        m_isConnected = true;
        asio::error_code ignored;
        m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        const auto limit = static_cast<int>(m_pool->m_settings.unacknowledgedLimit.count());
        setTcpOption<TCP_USER_TIMEOUT>(limit);
        // A connection that has gone silent shows itself while it waits for an answer.
        m_socket.set_option(asio::socket_base::keep_alive(true), ignored);
        setTcpOption<TCP_KEEPIDLE>(KeepAliveIdleSeconds);
        setTcpOption<TCP_KEEPINTVL>(KeepAliveIntervalSeconds);
        setTcpOption<TCP_KEEPCNT>(KeepAliveProbes);
        write();
        read();
    }

    template<int Option>
    void setTcpOption(int value)
    {
        asio::error_code ignored;
        m_socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, Option>(value), ignored);
    }

    void write()
    {
        asio::async_write(m_socket, asio::buffer(m_out), [self = shared_from_this()](const asio::error_code &ec, std::size_t) {
            self->m_isWritten = !ec;
            // A peer may answer and close before it has read everything, so the answer decides, not the write.
        });
    }

    void read()
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

    void onReadError(const asio::error_code &ec)
    {
        if (!m_isBusy) {
            close();
            return;
        }
        const bool endsMessage = ec == asio::error::eof && m_parser.finish() == MessageParser::Event::Complete;
        if (endsMessage && !m_isSkipping) {
            complete(false);
            return;
        }
        fail(CallFailure::Kind::Broken, ec.message());
    }

    void onBytes(std::string_view bytes)
    {
        while (!bytes.empty() && !m_isClosed) {
            if (!m_isBusy) {
                // Nobody has asked for these bytes.
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
                fail(CallFailure::Kind::Broken, m_parser.error());
            }
        }
    }

    void onHead()
    {
        const MessageHead &head = m_parser.head();
        const std::string *id = m_request.answerId.empty() ? nullptr : head.fields.find(m_request.answerIdField);
        const bool isInformational = head.status >= 100 && head.status < 200;
        const bool isForeign = id && *id != m_request.answerId;
        m_isSkipping = isInformational || isForeign;
        if (m_isSkipping) {
            m_skipped += isForeign ? 1 : 0;
            if (m_skipped > MaxSkippedAnswers || (isForeign && !head.isFramed)) {
                fail(CallFailure::Kind::Broken, "an answer to another request");
            }
            return;
        }
        m_hasAnswered = true;
        if (m_handlers.onHead) {
            m_handlers.onHead(head);
        }
    }

    void onBody()
    {
        if (!m_isSkipping && m_handlers.onBody) {
            m_handlers.onBody(m_parser.body());
        }
    }

    void onMessageEnd(bool hasMoreBytes)
    {
        if (m_isSkipping) {
            m_isSkipping = false;
            if (!m_parser.head().keepsConnection) {
                fail(CallFailure::Kind::Broken, "closed after an answer to another request");
            }
            return;
        }
        complete(!hasMoreBytes && m_isWritten && m_parser.head().keepsConnection);
    }

    void complete(bool isReusable)
    {
        const auto self = shared_from_this();
        const CallHandlers handlers = std::move(m_handlers);
        m_handlers = {};
        m_isBusy = false;
        m_idleSince = std::chrono::steady_clock::now();
        m_keptUntil = m_idleSince + keepTime(m_parser.head());
        if (isReusable && m_pool) {
            m_pool->keep(self);
        } else {
            close();
        }
        if (handlers.onComplete) {
            handlers.onComplete();
        }
    }

    void fail(CallFailure::Kind kind, const std::string &detail)
    {
        const auto self = shared_from_this();
        const CallHandlers handlers = std::move(m_handlers);
        m_handlers = {};
        m_isBusy = false;
        close();
        if (handlers.onFailure) {
            handlers.onFailure({kind, detail, m_wasReused && !m_hasAnswered});
        }
    }

    SocketAddress m_address;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_connectTimer;
    LinkPool *m_pool;
    LinkRequest m_request;
    CallHandlers m_handlers;
    MessageParser m_parser{MessageParser::Kind::Responses};
    std::string m_out;
    std::array<char, 8192> m_readBuffer;
    Instant m_idleSince;
    Instant m_keptUntil;
    std::uint64_t m_callNumber = 0;
    int m_skipped = 0;
    bool m_isConnected = false;
    bool m_isBusy = false;
    bool m_isWritten = false;
    bool m_isClosed = false;
    bool m_isSkipping = false;
    bool m_hasAnswered = false;
    bool m_wasReused = false;
};

} // namespace detail

OutgoingCall::OutgoingCall(std::weak_ptr<detail::Link> link, std::uint64_t number)
    : m_link(std::move(link))
    , m_number(number)
{
}

void OutgoingCall::cancel()
{
    if (const auto link = m_link.lock()) {
        link->cancel(m_number);
    }
    m_link.reset();
}

LinkPool::LinkPool(asio::io_context &context, Settings settings)
    : m_context(context)
    , m_settings(settings)
{
}

LinkPool::~LinkPool()
{
    for (auto &[address, links] : m_idle) {
        for (const LinkPtr &link : links) {
            link->detach();
        }
    }
}

OutgoingCall LinkPool::call(LinkRequest request, CallHandlers handlers)
{
    LinkPtr link = takeIdle(request);
    if (!link) {
        ++m_connectionsOpened;
        link = std::make_shared<detail::Link>(m_context, *this, request.address);
    }
    link->begin(std::move(request), std::move(handlers));
    return {link, link->callNumber()};
}

LinkPool::LinkPtr LinkPool::takeIdle(const LinkRequest &request)
{
    const std::string address = request.address.text();
    const Instant now = std::chrono::steady_clock::now();
    for (;;) {
        // Closing a link may drop the whole entry, so it is looked up anew each time.
        const auto it = m_idle.find(address);
        if (it == m_idle.end() || it->second.empty()) {
            return nullptr;
        }
        LinkPtr link = it->second.back();
        if (now >= link->keptUntil()) {
            link->close();
            continue;
        }
        if (now - link->idleSince() > request.maxIdle) {
            return nullptr;
        }
        it->second.pop_back();
        return link;
    }
}

void LinkPool::keep(const LinkPtr &link)
{
    std::deque<LinkPtr> &links = m_idle[link->address().text()];
    links.push_back(link);
    if (links.size() > m_settings.maxIdlePerAddress) {
        const LinkPtr oldest = links.front();
        links.pop_front();
        oldest->close();
    }
}

void LinkPool::forget(const detail::Link *link)
{
    const auto it = m_idle.find(link->address().text());
    if (it == m_idle.end()) {
        return;
    }
    auto &links = it->second;
    links.erase(std::remove_if(links.begin(), links.end(), [link](const LinkPtr &kept) { return kept.get() == link; }), links.end());
    if (links.empty()) {
        m_idle.erase(it);
    }
}

std::uint64_t LinkPool::connectionsOpened() const
{
    return m_connectionsOpened;
}

} // namespace flamingo
