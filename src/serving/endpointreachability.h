#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace flamingo
{

/// What an instance tells others about its own way to the endpoints.
struct ReachabilityReport {
    bool reachesEndpoints = false;
    std::size_t forwardedRequests = 0; ///< In progress for other instances.
};

/// Detects that this instance can't connect to any endpoint while other instances can, and chooses the instance that forwards
/// requests meanwhile. Only new connections count, since established ones may live on while new ones are refused. A few
/// endpoints that don't respond are no such case, nor is an outage of all endpoints, which the others report as well. It does no
/// I/O, and tells nobody that an endpoint has failed.
class EndpointReachability
{
public:
    /// A connection to the endpoint has been established.
    void recordConnected(const EndpointId &endpoint);

    /// No connection to the endpoint could be established.
    void recordUnreachable(const EndpointId &endpoint, Instant now);

    /// Another instance has told whether it reaches endpoints.
    void recordReport(const InstanceId &from, const ReachabilityReport &report, Instant now);

    /// Another instance couldn't forward a request. It isn't chosen before its next report.
    void recordForwardFailure(const InstanceId &instance);

    /// A request is being forwarded by the instance, or has ended there. Such requests count as the instance's load.
    void beginForward(const InstanceId &instance);
    void endForward(const InstanceId &instance);

    /// Judges anew, given the number of endpoints that are known. Returns whether isCutOff() has changed.
    bool update(std::size_t endpointCount, Instant now);

    /// Whether requests have to be forwarded by another instance.
    bool isCutOff() const;

    /// Whether some endpoint couldn't be reached since the last connection was established.
    bool isInDoubt() const;

    /// The instance that reports the least load among those that reach endpoints; nothing if there is none.
    std::optional<InstanceId> chooseForwarder(Instant now) const;

private:
    struct Peer {
        ReachabilityReport report;
        Instant reportedAt{};
        std::size_t forwardedHere = 0; ///< Requests of this instance that the other one forwards now.
    };

    bool isForwarder(const Peer &peer, Instant now) const;

    std::set<EndpointId> m_unreachable; ///< Since the last connection was established.
    std::set<EndpointId> m_connected; ///< Since a connection last failed; only while cut off.
    std::map<InstanceId, Peer> m_peers;
    Instant m_lastFailureAt{};
    bool m_isCutOff = false;
};

} // namespace flamingo
