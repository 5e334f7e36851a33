#include "instance/requestforwarder.h"

#include "core/log.h"
#include "instance/forwardfields.h"
#include "platform/headercodec.h"

#include <charconv>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

namespace flamingo
{

namespace
{
constexpr int StatusNoContent = 204;
constexpr int StatusNotModified = 304;
constexpr int StatusUnavailable = 503;
constexpr Milliseconds ConnectTimeout{400};
/// A response of which more is unread is broken off, so that a paused instance can't fill this one's memory.
constexpr std::size_t MaxUnsentBytes = std::size_t(4) * 1024 * 1024;
/// Requests of other instances that are in progress at once.
constexpr std::size_t MaxForwardedRequests = 400;

std::optional<Milliseconds> millisecondsField(const HeaderFields &fields, const char *name)
{
    const std::string text = fields.value(name);
    std::int64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    return ec == std::errc() && end == text.data() + text.size() && value >= 0 ? std::optional<Milliseconds>(Milliseconds(value)) : std::nullopt;
}

} // namespace

/// What is in progress.
struct RequestForwarder::Load {
    std::size_t requests = 0;
    std::size_t bodyBytes = 0;
};

/// One request in progress. The handlers of its call keep it; it counts as long as it exists.
struct RequestForwarder::Forwarded {
    Forwarded(RequestForwarder &forwarder, ServerConnectionPtr connection, const ServerRequest &request)
        : forwarder(forwarder)
        , load(forwarder.m_load)
        , connection(std::move(connection))
        , requestHead(request.head)
        , bodyBytes(request.body.size())
    {
        ++load->requests;
        load->bodyBytes += bodyBytes;
    }

    ~Forwarded()
    {
        --load->requests;
        load->bodyBytes -= bodyBytes;
    }

    Forwarded(const Forwarded &) = delete;
    Forwarded &operator=(const Forwarded &) = delete;

    void onHead(const MessageHead &head)
    {
        HeaderFields fields = platform::encodeResponseFields(head);
        ForwardFields::removeFrom(fields);
        if (head.status == StatusNoContent || head.status == StatusNotModified) {
            bodilessFields = std::move(fields);
            bodilessStatus = head.status;
            return;
        }
        connection->startStream(head.status, fields, head.contentLength);
    }

    void onBody(std::string_view bytes)
    {
        connection->write(bytes);
        if (connection->unsentBytes() > MaxUnsentBytes) {
            logChange("forward-unread", "unsent_bytes={}", connection->unsentBytes());
            call.cancel();
            connection->abort();
        }
    }

    void onComplete()
    {
        if (bodilessFields) {
            connection->respond(bodilessStatus, *bodilessFields, {});
        } else {
            connection->finishStream();
        }
    }

    void onFailure(const RequestFailure &failure)
    {
        if (failure.kind == RequestFailure::Kind::NotSent) {
            forwarder.refuse(connection, requestHead, ForwardFields::EndpointUnreachable);
        } else {
            connection->abort();
        }
    }

    RequestForwarder &forwarder;
    const std::shared_ptr<Load> load;
    ServerConnectionPtr connection;
    MessageHead requestHead;
    const std::size_t bodyBytes;
    RequestHandle call;
    std::optional<HeaderFields> bodilessFields;
    int bodilessStatus = 0;
};

RequestForwarder::RequestForwarder(ConnectionPool &endpointConnections,
                                   const EndpointDirectory &endpoints,
                                   Metrics &metrics,
                                   std::size_t maxHeldBytes,
                                   std::function<bool()> mayForward)
    : m_endpointConnections(endpointConnections)
    , m_endpoints(endpoints)
    , m_metrics(metrics)
    , m_maxHeldBytes(maxHeldBytes)
    , m_mayForward(std::move(mayForward))
    , m_load(std::make_shared<Load>())
{
}

void RequestForwarder::forward(const ServerConnectionPtr &connection, ServerRequest request)
{
    if (connection->hasDisconnected()) {
        connection->abort(); // Its caller has left while this process was paused or busy.
        return;
    }
    const EndpointEntry *endpoint = m_endpoints.find(EndpointId(request.head.fields.value(ForwardFields::Endpoint)));
    if (!m_mayForward() || !hasRoomFor(request.body.size())) {
        refuse(connection, request.head, ForwardFields::NotForwarding);
        return;
    }
    if (!endpoint || endpoint->isLeaving) {
        refuse(connection, request.head, ForwardFields::EndpointUnreachable);
        return;
    }
    m_metrics.add("flamingo_requests_forwarded_total", "by=\"this\"");
    const auto forwarded = std::make_shared<Forwarded>(*this, connection, request);
    connection->setDisconnectHandler([weak = std::weak_ptr<Forwarded>(forwarded)] {
        if (const auto it = weak.lock()) {
            it->call.cancel();
        }
    });
    ResponseHandlers handlers;
    handlers.onHead = [forwarded](const MessageHead &head) { forwarded->onHead(head); };
    handlers.onBody = [forwarded](std::string_view bytes) { forwarded->onBody(bytes); };
    handlers.onComplete = [forwarded] { forwarded->onComplete(); };
    handlers.onFailure = [forwarded](const RequestFailure &failure) { forwarded->onFailure(failure); };
    forwarded->call = m_endpointConnections.send(buildRequest(*endpoint, std::move(request)), std::move(handlers));
}

std::size_t RequestForwarder::count() const
{
    return m_load->requests;
}

bool RequestForwarder::hasRoomFor(std::size_t bodyBytes) const
{
    return m_load->requests < MaxForwardedRequests && m_load->bodyBytes + bodyBytes <= m_maxHeldBytes;
}

ClientRequest RequestForwarder::buildRequest(const EndpointEntry &endpoint, ServerRequest request) const
{
    const HeaderFields &fields = request.head.fields;
    ClientRequest out;
    out.address = endpoint.address;
    out.maxIdleTime = millisecondsField(fields, ForwardFields::MaxIdleMs).value_or(Milliseconds(0));
    out.silenceLimit = millisecondsField(fields, ForwardFields::SilenceLimitMs);
    out.connectTimeout = ConnectTimeout;
    out.sendBy = std::chrono::steady_clock::now() + ConnectTimeout;
    out.responseId = fields.value(platform::attemptIdField());
    out.responseIdField = platform::attemptIdField();
    out.maxBodyBytes = UnlimitedBodyBytes; // Limited by the instance that has the caller.
    out.head = std::move(request.head);
    out.head.target.erase(0, std::string_view(PathPrefix).size());
    removeHopByHopFields(out.head.fields);
    ForwardFields::removeFrom(out.head.fields);
    out.body = std::move(request.body);
    return out;
}

void RequestForwarder::refuse(const ServerConnectionPtr &connection, const MessageHead &head, const char *reason)
{
    HeaderFields fields;
    fields.add(platform::attemptIdField(), head.fields.value(platform::attemptIdField()));
    fields.add(ForwardFields::NotSent, reason);
    connection->respond(StatusUnavailable, fields, {});
}

} // namespace flamingo
