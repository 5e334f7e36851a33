#include "serving/endpointreachability.h"

#include <algorithm>

namespace flamingo
{

namespace
{
/// So many endpoints have to be unreachable, or all if there are fewer.
constexpr std::size_t MinUnreachableEndpoints = 3;
/// So many endpoints have to be connected to before requests are sent directly again, since a cut may come and go.
constexpr std::size_t MinConnectedEndpoints = 2;
/// Failures without any newer one are forgotten after this time.
constexpr Milliseconds DoubtLifetime{3000};
constexpr Milliseconds ReportLifetime{2000};
} // namespace

void EndpointReachability::recordConnected(const EndpointId &endpoint)
{
    if (m_isCutOff) {
        m_connected.insert(endpoint);
    } else {
        m_unreachable.clear();
    }
}

void EndpointReachability::recordUnreachable(const EndpointId &endpoint, Instant now)
{
    m_unreachable.insert(endpoint);
    m_connected.clear();
    m_lastFailureAt = now;
}

void EndpointReachability::recordReport(const InstanceId &from, const ReachabilityReport &report, Instant now)
{
    Peer &peer = m_peers[from];
    peer.report = report;
    peer.reportedAt = now;
}

void EndpointReachability::recordForwardFailure(const InstanceId &instance)
{
    m_peers[instance].report.reachesEndpoints = false;
}

void EndpointReachability::beginForward(const InstanceId &instance)
{
    ++m_peers[instance].forwardedHere;
}

void EndpointReachability::endForward(const InstanceId &instance)
{
    --m_peers[instance].forwardedHere;
}

bool EndpointReachability::update(std::size_t endpointCount, Instant now)
{
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        const bool isOld = now - it->second.reportedAt > ReportLifetime && it->second.forwardedHere == 0;
        it = isOld ? m_peers.erase(it) : std::next(it);
    }
    const bool hasForwarder = chooseForwarder(now).has_value();
    const bool wasCutOff = m_isCutOff;
    if (m_isCutOff) {
        const bool isConnected = m_connected.size() >= std::clamp<std::size_t>(endpointCount, 1, MinConnectedEndpoints);
        m_isCutOff = !isConnected && hasForwarder;
        if (isConnected) {
            m_unreachable.clear();
        }
    } else {
        if (now - m_lastFailureAt > DoubtLifetime) {
            m_unreachable.clear();
        }
        m_isCutOff = m_unreachable.size() >= std::clamp<std::size_t>(endpointCount, 1, MinUnreachableEndpoints) && hasForwarder;
    }
    if (wasCutOff != m_isCutOff) {
        m_connected.clear();
    }
    return wasCutOff != m_isCutOff;
}

bool EndpointReachability::isCutOff() const
{
    return m_isCutOff;
}

bool EndpointReachability::isInDoubt() const
{
    return !m_unreachable.empty();
}

std::optional<InstanceId> EndpointReachability::chooseForwarder(Instant now) const
{
    const auto load = [](const Peer &peer) { return peer.report.forwardedRequests + peer.forwardedHere; };
    std::optional<InstanceId> best;
    std::size_t lowestLoad = 0;
    for (const auto &[id, peer] : m_peers) {
        if (isForwarder(peer, now) && (!best || load(peer) < lowestLoad)) {
            best = id;
            lowestLoad = load(peer);
        }
    }
    return best;
}

bool EndpointReachability::isForwarder(const Peer &peer, Instant now) const
{
    return peer.report.reachesEndpoints && now - peer.reportedAt <= ReportLifetime;
}

} // namespace flamingo
