#pragma once

#include "core/metrics.h"
#include "http/connectionpool.h"
#include "http/serverconnection.h"
#include "serving/endpointdirectory.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace flamingo
{

/// Forwards requests of instances that can't connect to endpoints themselves. A request goes from here to its endpoint directly
/// or not at all, so there is one hop and never a loop. It is sent once: whether it may be repeated is decided by the instance
/// that has the caller. If that instance closes the connection, the endpoint's is closed as well.
class RequestForwarder
{
public:
    /// Prefix of the paths of requests that are to be forwarded.
    static constexpr const char *PathPrefix = "/forward";

    /// The longest body that is forwarded, in bytes.
    static constexpr std::size_t MaxBodyBytes = std::size_t(2) * 1024 * 1024;

    /// maxHeldBytes is the total size in bytes of the bodies that are being forwarded. mayForward tells whether this instance
    /// takes requests of others: it reaches endpoints and isn't about to stop.
    RequestForwarder(ConnectionPool &endpointConnections,
                     const EndpointDirectory &endpoints,
                     Metrics &metrics,
                     std::size_t maxHeldBytes,
                     std::function<bool()> mayForward);

    void forward(const ServerConnectionPtr &connection, ServerRequest request);

    /// The number of requests in progress.
    std::size_t count() const;

private:
    struct Load;
    struct Forwarded;

    bool hasRoomFor(std::size_t bodyBytes) const;
    ClientRequest buildRequest(const EndpointEntry &endpoint, ServerRequest request) const;
    void refuse(const ServerConnectionPtr &connection, const MessageHead &head, const char *reason);

    ConnectionPool &m_endpointConnections;
    const EndpointDirectory &m_endpoints;
    Metrics &m_metrics;
    const std::size_t m_maxHeldBytes;
    std::function<bool()> m_mayForward;
    std::shared_ptr<Load> m_load; ///< Requests that are pending when the loop ends outlive this.
};

} // namespace flamingo
