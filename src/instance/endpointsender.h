#pragma once

#include "core/metrics.h"
#include "http/connectionpool.h"
#include "instance/endpointmonitor.h"
#include "serving/endpointentry.h"
#include "serving/memberdirectory.h"

namespace flamingo
{

/// Sends requests to endpoints: directly, or by another instance while this one is cut off from them. What it sees goes to the
/// EndpointMonitor.
class EndpointSender
{
public:
    EndpointSender(asio::io_context &context,
                   ConnectionPool &endpointConnections,
                   ConnectionPool &peerConnections,
                   const MemberDirectory &members,
                   EndpointMonitor &monitor,
                   Metrics &metrics);

    /// Like ConnectionPool::send(). The request's address is the endpoint's. A failure of the kind NotSent means, also for a forwarded
    /// request, that the endpoint has certainly not received it.
    RequestHandle send(const EndpointEntry &endpoint, ClientRequest request, ResponseHandlers handlers);

private:
    RequestHandle sendDirectly(const EndpointId &endpoint, ClientRequest request, ResponseHandlers handlers);
    RequestHandle sendBy(const MemberRecord &forwarder, const EndpointId &endpoint, ClientRequest request, ResponseHandlers handlers);
    void refuse(ResponseHandlers handlers, std::string detail);

    asio::io_context &m_context;
    ConnectionPool &m_endpointConnections;
    ConnectionPool &m_peerConnections;
    const MemberDirectory &m_members;
    EndpointMonitor &m_monitor;
    Metrics &m_metrics;
};

} // namespace flamingo
