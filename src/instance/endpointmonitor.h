#pragma once

#include "core/timerservice.h"
#include "http/connectionpool.h"
#include "serving/endpointdirectory.h"
#include "serving/endpointreachability.h"
#include "serving/memberdirectory.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace flamingo
{

/// Finds out whether this instance can connect to endpoints. While there is a reason to doubt it, it opens connections to some of
/// them, which carry no request, and asks other instances whether they reach endpoints; EndpointReachability judges.
class EndpointMonitor
{
public:
    /// Path of the request that asks another instance for its ReachabilityReport.
    static constexpr const char *ReportPath = "/endpoints/report";

    struct Hooks {
        std::function<void(bool isCutOff)> onChanged;
        std::function<bool()> mayForward; ///< Whether this instance takes requests of others.
        std::function<std::size_t()> forwardedRequests; ///< In progress for other instances.
    };

    /// Handlers that are pending when the loop ends still use the reachability, so it has to outlive the loop.
    EndpointMonitor(asio::io_context &context,
                    TimerService &timers,
                    EndpointReachability &reachability,
                    const EndpointDirectory &endpoints,
                    const MemberDirectory &members,
                    ConnectionPool &peerConnections,
                    Hooks hooks);

    void start();

    EndpointReachability &reachability();

    /// What this instance tells others, encoded.
    std::string report() const;

    /// Counts a request that is sent to an endpoint directly, for as long as the result exists.
    std::shared_ptr<void> beginRequest();

    /// Some endpoint has sent bytes of a response.
    void onBytes();

    void onConnected(const EndpointId &endpoint);
    void onUnreachable(const EndpointId &endpoint);

private:
    struct Probe;

    void check(Instant now);
    bool isQuiet(Instant now) const;
    void probeEndpoints(std::size_t count, Instant now);
    void probe(const EndpointEntry &endpoint);
    void queryInstances(Instant now);
    void query(const MemberRecord &member);

    asio::io_context &m_context;
    TimerService &m_timers;
    const EndpointDirectory &m_endpoints;
    const MemberDirectory &m_members;
    ConnectionPool &m_peerConnections;
    Hooks m_hooks;
    EndpointReachability &m_reachability;
    std::shared_ptr<std::size_t> m_requests = std::make_shared<std::size_t>(0); ///< Sent directly and in progress.
    std::size_t m_nextEndpoint = 0;
    std::size_t m_nextInstance = 0;
    Instant m_lastBytesAt{}; ///< Or when requests began after a time without any.
    Instant m_lastConnectedAt{};
    Instant m_lastProbeAt{};
    Instant m_lastQueryAt{};
};

} // namespace flamingo
