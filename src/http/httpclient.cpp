#include "http/httpclient.h"

#include "core/loopthread.h"
#include "http/linkpool.h"

#include <atomic>
#include <future>
#include <map>
#include <optional>
#include <utility>

namespace flamingo
{

namespace
{
/// Beyond this a peer may have closed the connection already.
constexpr Milliseconds KeptIdle{2000};
constexpr std::size_t MaxIdlePerAddress = 64;
constexpr Milliseconds UnacknowledgedLimit{3000};
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

LinkRequest linkRequest(const HttpRequest &request, const Url &url, bool mayReuse)
{
    LinkRequest link;
    link.address = url.address;
    link.head.method = request.method;
    link.head.target = url.target;
    link.head.fields.add("Host", url.address.text());
    for (const std::string &line : request.headers) {
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            link.head.fields.add(line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value));
        }
    }
    link.body = request.body;
    link.maxIdle = mayReuse ? KeptIdle : Milliseconds(0);
    link.connectTimeout = request.connectTimeout;
    return link;
}

HttpFailure failureOf(const CallFailure &failure)
{
    return {failure.kind == CallFailure::Kind::NotSent ? HttpFailure::Kind::NotSent : HttpFailure::Kind::Broken, failure.detail};
}
} // namespace

struct HttpClient::Private {
    struct Transfer {
        HttpRequest request;
        Url url;
        DoneHandler onDone;
        ChunkHandler onChunk;
        HttpResponse response;
        OutgoingCall call;
        Instant lastArrival{};
        TimerService::TimerId totalTimer = 0;
        TimerService::TimerId silenceTimer = 0;
    };

    std::atomic<RequestId> lastId{0};
    std::map<RequestId, Transfer> active; ///< Of the thread.
    LoopThread thread;
    LinkPool links{thread.loop.context(), {MaxIdlePerAddress, UnacknowledgedLimit}};

    void begin(RequestId id, HttpRequest request, DoneHandler onDone, ChunkHandler onChunk);
    void call(RequestId id, Transfer &transfer, bool mayReuse);
    void onBody(RequestId id, std::string_view bytes);
    void onFailure(RequestId id, const CallFailure &failure);
    void checkSilence(RequestId id, Instant now);
    void fail(RequestId id, HttpFailure::Kind kind, const char *detail);
    void finish(RequestId id, HttpOutcome outcome);
};

HttpClient::HttpClient()
    : m_private(std::make_unique<Private>())
{
}

HttpClient::~HttpClient()
{
    m_private->thread.call([this] {
        while (!m_private->active.empty()) {
            m_private->fail(m_private->active.begin()->first, HttpFailure::Kind::Cancelled, "the client is stopping");
        }
    });
    m_private->thread.stop();
}

HttpClient::RequestId HttpClient::send(HttpRequest request, DoneHandler onDone, ChunkHandler onChunk)
{
    const RequestId id = ++m_private->lastId;
    asio::post(m_private->thread.loop.context(), [this, id, request = std::move(request), onDone = std::move(onDone), onChunk = std::move(onChunk)]() mutable {
        m_private->begin(id, std::move(request), std::move(onDone), std::move(onChunk));
    });
    return id;
}

void HttpClient::cancel(RequestId id)
{
    asio::post(m_private->thread.loop.context(), [this, id] { m_private->fail(id, HttpFailure::Kind::Cancelled, "cancelled"); });
}

HttpOutcome HttpClient::sendAndWait(HttpRequest request)
{
    auto promise = std::make_shared<std::promise<HttpOutcome>>();
    auto future = promise->get_future();
    send(std::move(request), [promise](HttpOutcome outcome) { promise->set_value(std::move(outcome)); });
    return future.get();
}

void HttpClient::Private::begin(RequestId id, HttpRequest request, DoneHandler onDone, ChunkHandler onChunk)
{
    auto url = parseUrl(request.url);
    if (!url) {
        onDone(tl::make_unexpected(HttpFailure{HttpFailure::Kind::NotSent, "not a URL with an IP address: " + request.url}));
        return;
    }
    Transfer &transfer = active[id];
    transfer.request = std::move(request);
    transfer.url = std::move(*url);
    transfer.onDone = std::move(onDone);
    transfer.onChunk = std::move(onChunk);
    const Instant now = std::chrono::steady_clock::now();
    transfer.lastArrival = now;
    if (transfer.request.totalTimeout.count() > 0) {
        const auto onTime = [this, id](Instant) { fail(id, HttpFailure::Kind::TimedOut, "no whole answer within the time limit"); };
        transfer.totalTimer = thread.loop.timers().at(now + transfer.request.totalTimeout, onTime);
    }
    if (transfer.request.silenceTimeout.count() > 0) {
        checkSilence(id, now);
    }
    call(id, transfer, transfer.request.method == "GET");
}

void HttpClient::Private::call(RequestId id, Transfer &transfer, bool mayReuse)
{
    CallHandlers handlers;
    handlers.onHead = [this, id](const MessageHead &head) { active.at(id).response.status = head.status; };
    handlers.onBody = [this, id](std::string_view bytes) { onBody(id, bytes); };
    handlers.onComplete = [this, id] { finish(id, std::move(active.at(id).response)); };
    handlers.onFailure = [this, id](const CallFailure &failure) { onFailure(id, failure); };
    transfer.call = links.call(linkRequest(transfer.request, transfer.url, mayReuse), std::move(handlers));
}

void HttpClient::Private::onBody(RequestId id, std::string_view bytes)
{
    Transfer &transfer = active.at(id);
    transfer.lastArrival = std::chrono::steady_clock::now();
    if (transfer.onChunk) {
        transfer.onChunk(bytes);
    } else {
        transfer.response.body += bytes;
    }
}

// Reading twice does no harm, and a kept connection may have been closed before the request arrived.
void HttpClient::Private::onFailure(RequestId id, const CallFailure &failure)
{
    Transfer &transfer = active.at(id);
    if (failure.wasReused && transfer.request.method == "GET") {
        call(id, transfer, false);
        return;
    }
    finish(id, tl::make_unexpected(failureOf(failure)));
}

void HttpClient::Private::checkSilence(RequestId id, Instant now)
{
    Transfer &transfer = active.at(id);
    const Instant due = transfer.lastArrival + transfer.request.silenceTimeout;
    if (now >= due) {
        fail(id, HttpFailure::Kind::TimedOut, "nothing has arrived for too long");
        return;
    }
    transfer.silenceTimer = thread.loop.timers().at(due, [this, id](Instant later) { checkSilence(id, later); });
}

void HttpClient::Private::fail(RequestId id, HttpFailure::Kind kind, const char *detail)
{
    const auto it = active.find(id);
    if (it != active.end()) {
        it->second.call.cancel();
        finish(id, tl::make_unexpected(HttpFailure{kind, detail}));
    }
}

void HttpClient::Private::finish(RequestId id, HttpOutcome outcome)
{
    const auto node = active.extract(id);
    Transfer &transfer = node.mapped();
    thread.loop.timers().cancel(transfer.totalTimer);
    thread.loop.timers().cancel(transfer.silenceTimer);
    transfer.onDone(std::move(outcome));
}

} // namespace flamingo
