#include "instance/isolationdetector.h"

#include "core/log.h"

#include <algorithm>

namespace flamingo
{

namespace
{
constexpr Milliseconds CheckPeriod{100};
/// Calls come and go all the time, so after this long without an answer from elsewhere the instance asks.
constexpr Milliseconds PingInterval{250};
/// Then the store too is asked after a moment.
constexpr Milliseconds StoreProbeDelay{150};
/// Without any answer for this long the instance takes itself as cut off.
constexpr Milliseconds IsolationTimeout{800};
constexpr Milliseconds PingConnectTimeout{300};
constexpr std::size_t PingsPerInterval = 2;
} // namespace

IsolationDetector::IsolationDetector(TimerService &timers, MemberDirectory &fleet, LinkPool &peerConnections, StoreHooks store, std::function<void(bool)> onChange)
    : m_timers(timers)
    , m_fleet(fleet)
    , m_peerConnections(peerConnections)
    , m_store(std::move(store))
    , m_onChange(std::move(onChange))
{
}

void IsolationDetector::start()
{
    m_lastPeerResponseAt = std::chrono::steady_clock::now();
    m_timers.every(m_lastPeerResponseAt, CheckPeriod, [this](Instant now) { check(now); });
}

bool IsolationDetector::isIsolated() const
{
    return m_isIsolated;
}

void IsolationDetector::onPeerResponse(const InstanceId &from)
{
    const MemberRecord *member = m_fleet.find(from);
    if (member && member->domain != m_fleet.ownDomain()) {
        m_lastPeerResponseAt = std::chrono::steady_clock::now();
    }
}

void IsolationDetector::check(Instant now)
{
    const std::vector<MemberRecord> members = m_fleet.instancesInOtherDomains();
    if (members.empty()) {
        return;
    }
    const auto silence = now - m_lastPeerResponseAt;
    if (silence > PingInterval && now - m_lastPingAt > PingInterval) {
        m_lastPingAt = now;
        for (std::size_t n = 0; n < std::min(PingsPerInterval, members.size()); ++n) {
            ping(members[m_nextPingIndex++ % members.size()]);
        }
        if (silence > PingInterval + StoreProbeDelay) {
            m_store.probe();
        }
    }
    setIsolated(now - std::max(m_lastPeerResponseAt, m_store.lastResponseAt()) > IsolationTimeout);
}

void IsolationDetector::ping(const MemberRecord &member)
{
    LinkRequest request;
    request.address = member.peerAddress;
    request.head.method = "GET";
    request.head.target = PingPath;
    request.head.fields.add("Host", member.peerAddress.text());
    request.connectTimeout = PingConnectTimeout;
    CallHandlers handlers;
    handlers.onComplete = [this] { m_lastPeerResponseAt = std::chrono::steady_clock::now(); };
    // A failure needs nothing: that no answer came for a while is what counts.
    m_peerConnections.call(std::move(request), std::move(handlers));
}

void IsolationDetector::setIsolated(bool isIsolated)
{
    if (isIsolated == m_isIsolated) {
        return;
    }
    m_isIsolated = isIsolated;
    m_fleet.setDomainIsolated(isIsolated);
    logChange(isIsolated ? "cut-off" : "reconnected", "instances_elsewhere={}", m_fleet.instancesInOtherDomains().size());
    m_onChange(isIsolated);
}

} // namespace flamingo
