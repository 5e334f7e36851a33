#include "http/httpclient.h"

#include "core/loopthread.h"
#include "http/connectionpool.h"

#include <atomic>
#include <future>
#include <map>
#include <optional>
#include <utility>

namespace flamingo
{

namespace
{
/// A peer may already have closed a connection that has been idle for longer.
constexpr Milliseconds MaxIdleTime{2000};
constexpr std::size_t MaxIdlePerAddress = 64;
constexpr Milliseconds UnacknowledgedTimeout{3000};
constexpr std::string_view Scheme = "http://";

struct Url {
    SocketAddress address;
    std::string target;
};

std::optional<Url> parseUrl(const std::string &url)
{
    if (url.compare(0, Scheme.size(), Scheme) != 0) {
        return std::nullopt;
    }
    const auto slash = url.find('/', Scheme.size());
    const auto address = parseSocketAddress(url.substr(Scheme.size(), slash == std::string::npos ? slash : slash - Scheme.size()));
    return address ? std::optional<Url>({*address, slash == std::string::npos ? "/" : url.substr(slash)}) : std::nullopt;
}

ClientRequest clientRequest(const HttpRequest &request, const Url &url, bool mayReuse)
{
    ClientRequest out;
    out.address = url.address;
    out.head.method = request.method;
    out.head.target = url.target;
    out.head.fields.add("Host", url.address.text());
    for (const std::string &line : request.headers) {
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            out.head.fields.add(line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value));
        }
    }
    out.body = request.body;
    out.maxIdleTime = mayReuse ? MaxIdleTime : Milliseconds(0);
    out.connectTimeout = request.connectTimeout;
    return out;
}

HttpFailure httpFailure(const RequestFailure &failure)
{
    return {failure.kind == RequestFailure::Kind::NotSent ? HttpFailure::Kind::NotSent : HttpFailure::Kind::Broken, failure.detail};
}
} // namespace

struct HttpClient::Private {
    struct Transfer {
        HttpRequest request;
        Url url;
        DoneHandler onDone;
        ChunkHandler onChunk;
        HttpResponse response;
        RequestHandle handle;
        Instant lastReceivedAt{};
        TimerService::TimerId totalTimer = 0;
        TimerService::TimerId idleTimer = 0;
    };

    std::atomic<TransferId> lastId{0};
    std::map<TransferId, Transfer> activeTransfers; ///< Used only on the client's thread.
    LoopThread thread;
    ConnectionPool connections{thread.loop.context(), {MaxIdlePerAddress, UnacknowledgedTimeout}};

    void begin(TransferId id, HttpRequest request, DoneHandler onDone, ChunkHandler onChunk);
    void sendRequest(TransferId id, Transfer &transfer, bool mayReuse);
    void onBody(TransferId id, std::string_view bytes);
    void onFailure(TransferId id, const RequestFailure &failure);
    void checkIdleTimeout(TransferId id, Instant now);
    void fail(TransferId id, HttpFailure::Kind kind, const char *detail);
    void finish(TransferId id, HttpResult outcome);
};

HttpClient::HttpClient()
    : m_private(std::make_unique<Private>())
{
}

HttpClient::~HttpClient()
{
    m_private->thread.call([this] {
        while (!m_private->activeTransfers.empty()) {
            m_private->fail(m_private->activeTransfers.begin()->first, HttpFailure::Kind::Cancelled, "the client is stopping");
        }
    });
    m_private->thread.stop();
}

HttpClient::TransferId HttpClient::send(HttpRequest request, DoneHandler onDone, ChunkHandler onChunk)
{
    const TransferId id = ++m_private->lastId;
    asio::post(m_private->thread.loop.context(), [this, id, request = std::move(request), onDone = std::move(onDone), onChunk = std::move(onChunk)]() mutable {
        m_private->begin(id, std::move(request), std::move(onDone), std::move(onChunk));
    });
    return id;
}

void HttpClient::cancel(TransferId id)
{
    asio::post(m_private->thread.loop.context(), [this, id] { m_private->fail(id, HttpFailure::Kind::Cancelled, "cancelled"); });
}

HttpResult HttpClient::sendAndWait(HttpRequest request)
{
    auto promise = std::make_shared<std::promise<HttpResult>>();
    auto future = promise->get_future();
    send(std::move(request), [promise](HttpResult outcome) { promise->set_value(std::move(outcome)); });
    return future.get();
}

void HttpClient::Private::begin(TransferId id, HttpRequest request, DoneHandler onDone, ChunkHandler onChunk)
{
    auto url = parseUrl(request.url);
    if (!url) {
        onDone(tl::make_unexpected(HttpFailure{HttpFailure::Kind::NotSent, "not a URL with an IP address: " + request.url}));
        return;
    }
    Transfer &transfer = activeTransfers[id];
    transfer.request = std::move(request);
    transfer.url = std::move(*url);
    transfer.onDone = std::move(onDone);
    transfer.onChunk = std::move(onChunk);
    const Instant now = std::chrono::steady_clock::now();
    transfer.lastReceivedAt = now;
    if (transfer.request.totalTimeout.count() > 0) {
        const auto onTime = [this, id](Instant) { fail(id, HttpFailure::Kind::TimedOut, "no whole answer within the time limit"); };
        transfer.totalTimer = thread.loop.timers().at(now + transfer.request.totalTimeout, onTime);
    }
    if (transfer.request.idleTimeout.count() > 0) {
        checkIdleTimeout(id, now);
    }
    sendRequest(id, transfer, transfer.request.method == "GET");
}

void HttpClient::Private::sendRequest(TransferId id, Transfer &transfer, bool mayReuse)
{
    ResponseHandlers handlers;
    handlers.onHead = [this, id](const MessageHead &head) { activeTransfers.at(id).response.status = head.status; };
    handlers.onBody = [this, id](std::string_view bytes) { onBody(id, bytes); };
    handlers.onComplete = [this, id] { finish(id, std::move(activeTransfers.at(id).response)); };
    handlers.onFailure = [this, id](const RequestFailure &failure) { onFailure(id, failure); };
    ClientRequest request = clientRequest(transfer.request, transfer.url, mayReuse);
    request.maxBodyBytes = transfer.onChunk ? UnlimitedBodyBytes : DefaultMaxBodyBytes;
    transfer.handle = connections.send(std::move(request), std::move(handlers));
}

void HttpClient::Private::onBody(TransferId id, std::string_view bytes)
{
    Transfer &transfer = activeTransfers.at(id);
    transfer.lastReceivedAt = std::chrono::steady_clock::now();
    if (transfer.onChunk) {
        transfer.onChunk(bytes);
    } else {
        transfer.response.body += bytes;
    }
}

// GET is idempotent, and the peer may have closed the reused connection before the request arrived.
void HttpClient::Private::onFailure(TransferId id, const RequestFailure &failure)
{
    Transfer &transfer = activeTransfers.at(id);
    if (failure.wasConnectionReused && transfer.request.method == "GET") {
        sendRequest(id, transfer, false);
        return;
    }
    finish(id, tl::make_unexpected(httpFailure(failure)));
}

void HttpClient::Private::checkIdleTimeout(TransferId id, Instant now)
{
    Transfer &transfer = activeTransfers.at(id);
    const Instant due = transfer.lastReceivedAt + transfer.request.idleTimeout;
    if (now >= due) {
        fail(id, HttpFailure::Kind::TimedOut, "nothing has arrived for too long");
        return;
    }
    transfer.idleTimer = thread.loop.timers().at(due, [this, id](Instant later) { checkIdleTimeout(id, later); });
}

void HttpClient::Private::fail(TransferId id, HttpFailure::Kind kind, const char *detail)
{
    const auto it = activeTransfers.find(id);
    if (it != activeTransfers.end()) {
        it->second.handle.cancel();
        finish(id, tl::make_unexpected(HttpFailure{kind, detail}));
    }
}

void HttpClient::Private::finish(TransferId id, HttpResult outcome)
{
    const auto node = activeTransfers.extract(id);
    Transfer &transfer = node.mapped();
    thread.loop.timers().cancel(transfer.totalTimer);
    thread.loop.timers().cancel(transfer.idleTimer);
    transfer.onDone(std::move(outcome));
}

} // namespace flamingo
