#include "instance/endpointsender.h"

#include "core/log.h"
#include "instance/forwardfields.h"
#include "instance/requestforwarder.h"

#include <chrono>
#include <memory>
#include <string>
#include <utility>

namespace flamingo
{

namespace
{
constexpr Milliseconds ForwarderConnectTimeout{250};
/// Connections between instances carry other calls meanwhile, so they are kept for as long.
constexpr Milliseconds MaxForwarderIdleTime{10000};

/// Counts a forwarded request at its forwarder, as long as it exists.
class ForwardCount
{
public:
    ForwardCount(EndpointReachability &reachability, InstanceId forwarder)
        : m_reachability(reachability)
        , m_forwarder(std::move(forwarder))
    {
        m_reachability.beginForward(m_forwarder);
    }

    ~ForwardCount()
    {
        m_reachability.endForward(m_forwarder);
    }

    ForwardCount(const ForwardCount &) = delete;
    ForwardCount &operator=(const ForwardCount &) = delete;

private:
    EndpointReachability &m_reachability;
    InstanceId m_forwarder;
};

/// The state of one forwarded request. Its handlers keep it.
struct ForwardedCall {
    ForwardedCall(EndpointMonitor &monitor, const InstanceId &forwarder, ResponseHandlers handlers)
        : monitor(monitor)
        , forwarder(forwarder)
        , count(monitor.reachability(), forwarder)
        , handlers(std::move(handlers))
    {
    }

    void onHead(const MessageHead &head)
    {
        if (const std::string *reason = head.fields.find(ForwardFields::NotSent)) {
            notSentReason = *reason;
        } else if (handlers.onHead) {
            handlers.onHead(head);
        }
    }

    void onBody(std::string_view bytes)
    {
        if (!notSentReason && handlers.onBody) {
            handlers.onBody(bytes);
        }
    }

    void onComplete()
    {
        if (!notSentReason) {
            if (handlers.onComplete) {
                handlers.onComplete();
            }
            return;
        }
        const bool isForwarderFault = *notSentReason != ForwardFields::EndpointUnreachable;
        if (isForwarderFault) {
            monitor.reachability().recordForwardFailure(forwarder);
        }
        fail({RequestFailure::Kind::NotSent, "by " + forwarder.value() + ": " + *notSentReason, false, isForwarderFault});
    }

    void onFailure(RequestFailure failure)
    {
        // Otherwise the connection to the endpoint has ended, as far as is known.
        failure.isForwarderFault = failure.kind == RequestFailure::Kind::NotSent;
        if (failure.isForwarderFault) {
            monitor.reachability().recordForwardFailure(forwarder);
        }
        failure.detail = "by " + forwarder.value() + ": " + failure.detail;
        fail(failure);
    }

    void fail(const RequestFailure &failure) const
    {
        if (handlers.onFailure) {
            handlers.onFailure(failure);
        }
    }

    EndpointMonitor &monitor;
    const InstanceId forwarder;
    const ForwardCount count;
    const ResponseHandlers handlers;
    std::optional<std::string> notSentReason;
};
} // namespace

EndpointSender::EndpointSender(asio::io_context &context,
                               ConnectionPool &endpointConnections,
                               ConnectionPool &peerConnections,
                               const MemberDirectory &members,
                               EndpointMonitor &monitor,
                               Metrics &metrics)
    : m_context(context)
    , m_endpointConnections(endpointConnections)
    , m_peerConnections(peerConnections)
    , m_members(members)
    , m_monitor(monitor)
    , m_metrics(metrics)
{
}

RequestHandle EndpointSender::send(const EndpointEntry &endpoint, ClientRequest request, ResponseHandlers handlers)
{
    if (!m_monitor.reachability().isCutOff()) {
        return sendDirectly(endpoint.id, std::move(request), std::move(handlers));
    }
    const auto chosen = m_monitor.reachability().chooseForwarder(std::chrono::steady_clock::now());
    const MemberRecord *forwarder = chosen ? m_members.find(*chosen) : nullptr;
    const std::size_t bodyBytes = request.sharedBody ? request.sharedBody->size() : request.body.size();
    if (!forwarder || bodyBytes > RequestForwarder::MaxBodyBytes) {
        refuse(std::move(handlers), forwarder ? "the body is too long to be forwarded" : "no instance forwards");
        return {};
    }
    return sendBy(*forwarder, endpoint.id, std::move(request), std::move(handlers));
}

RequestHandle EndpointSender::sendDirectly(const EndpointId &endpoint, ClientRequest request, ResponseHandlers handlers)
{
    const auto progress = m_monitor.beginRequest();
    ResponseHandlers seen;
    const auto isConnected = std::make_shared<bool>(false);
    seen.onConnected = [this, endpoint, isConnected] {
        *isConnected = true;
        m_monitor.onConnected(endpoint);
    };
    seen.onHead = [this, progress, onHead = std::move(handlers.onHead)](const MessageHead &head) {
        m_monitor.onBytes();
        onHead(head);
    };
    seen.onBody = [this, onBody = std::move(handlers.onBody)](std::string_view bytes) {
        m_monitor.onBytes();
        onBody(bytes);
    };
    seen.onComplete = std::move(handlers.onComplete);
    seen.onFailure = [this, progress, endpoint, isConnected, onFailure = std::move(handlers.onFailure)](const RequestFailure &failure) {
        // After a pause of the process a request may be too late to be sent, whatever its connection.
        if (failure.kind == RequestFailure::Kind::NotSent && !failure.wasConnectionReused && !*isConnected) {
            m_monitor.onUnreachable(endpoint);
        }
        onFailure(failure);
    };
    return m_endpointConnections.send(std::move(request), std::move(seen));
}

RequestHandle EndpointSender::sendBy(const MemberRecord &forwarder, const EndpointId &endpoint, ClientRequest request, ResponseHandlers handlers)
{
    m_metrics.add("flamingo_requests_forwarded_total", "by=\"other\"");
    // A connection that has carried the request before isn't known there, so a repeated one gets a new connection.
    const Milliseconds maxIdle = request.usedConnections.empty() ? request.maxIdleTime : Milliseconds(0);
    HeaderFields &fields = request.head.fields;
    ForwardFields::removeFrom(fields);
    fields.add(ForwardFields::Endpoint, endpoint.value());
    fields.add(ForwardFields::MaxIdleMs, std::to_string(maxIdle.count()));
    if (request.silenceLimit) {
        fields.add(ForwardFields::SilenceLimitMs, std::to_string(request.silenceLimit->count()));
    }
    request.address = forwarder.peerAddress;
    request.head.target.insert(0, RequestForwarder::PathPrefix);
    request.connectTimeout = ForwarderConnectTimeout;
    request.maxIdleTime = std::min(MaxForwarderIdleTime, request.maxIdleTime);
    const auto call = std::make_shared<ForwardedCall>(m_monitor, forwarder.id, std::move(handlers));
    ResponseHandlers seen;
    seen.onHead = [call](const MessageHead &head) { call->onHead(head); };
    seen.onBody = [call](std::string_view bytes) { call->onBody(bytes); };
    seen.onComplete = [call] { call->onComplete(); };
    seen.onFailure = [call](const RequestFailure &failure) { call->onFailure(failure); };
    return m_peerConnections.send(std::move(request), std::move(seen));
}

// Handlers are never called from inside send().
void EndpointSender::refuse(ResponseHandlers handlers, std::string detail)
{
    asio::post(m_context, [onFailure = std::move(handlers.onFailure), detail = std::move(detail)] {
        onFailure({RequestFailure::Kind::NotSent, detail, false, true});
    });
}

} // namespace flamingo
