#include "instance/isolationdetector.h"

#include "core/log.h"
#include "http/internalrequest.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace flamingo
{

namespace
{
constexpr Milliseconds CheckPeriod{100};
/// Regular calls usually show that other failure domains are reachable. After this long without a response from one, the
/// instance pings, and again at this interval.
constexpr Milliseconds PingInterval{250};
/// Silence beyond PingInterval after which the store is probed as well.
constexpr Milliseconds StoreProbeDelay{150};
/// The instance considers itself isolated after this long without a response from the store or from another failure
/// domain.
constexpr Milliseconds IsolationTimeout{800};
constexpr Milliseconds PingConnectTimeout{300};
constexpr std::size_t PingsPerInterval = 2;
} // namespace

IsolationDetector::IsolationDetector(asio::io_context &context,
                                     TimerService &timers,
                                     MemberDirectory &members,
                                     ConnectionPool &peerConnections,
                                     StoreHooks store,
                                     VersionHooks versions,
                                     ChangeHooks changes)
    : m_context(context)
    , m_timers(timers)
    , m_members(members)
    , m_peerConnections(peerConnections)
    , m_store(std::move(store))
    , m_versions(std::move(versions))
    , m_changes(std::move(changes))
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
    const MemberRecord *member = m_members.find(from);
    if (member && member->domain != m_members.ownDomain()) {
        m_lastPeerResponseAt = std::chrono::steady_clock::now();
        m_domains.recordResponse(member->domain, m_lastPeerResponseAt);
    }
}

void IsolationDetector::check(Instant now)
{
    const std::vector<MemberRecord> members = m_members.instancesInOtherDomains();
    if (!members.empty()) {
        checkIsolation(members, now);
    }
    checkDomains(members, now);
}

void IsolationDetector::checkIsolation(const std::vector<MemberRecord> &members, Instant now)
{
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

void IsolationDetector::checkDomains(const std::vector<MemberRecord> &members, Instant now)
{
    std::map<DomainId, std::vector<const MemberRecord *>> membersOf;
    std::map<DomainId, std::size_t> memberCounts;
    for (const MemberRecord &member : members) {
        membersOf[member.domain].push_back(&member);
        ++memberCounts[member.domain];
    }
    for (const auto &[domain, number] : m_domains.takePings(memberCounts, now)) {
        const auto &candidates = membersOf.at(domain);
        ping(*candidates[number % candidates.size()]);
    }
    if (m_domains.update(now)) {
        const std::set<DomainId> &unreachable = m_domains.unreachableDomains();
        std::string names;
        for (const DomainId &domain : unreachable) {
            names += (names.empty() ? "" : ",") + domain.value();
        }
        logChange("domains-reachable", "unreachable={}", names.empty() ? "-" : names);
        m_members.setUnreachableDomains(unreachable);
        m_changes.onUnreachableDomainsChanged(unreachable);
    }
}

void IsolationDetector::ping(const MemberRecord &member)
{
    InternalRequest request;
    request.address = member.peerAddress;
    request.method = "POST";
    request.target = PingPath;
    request.body = m_versions.ownVersions().encode();
    request.connectTimeout = PingConnectTimeout;
    sendInternalRequest(m_context, m_peerConnections, std::move(request), [this, domain = member.domain](const std::optional<InternalResponse> &response) {
        // Failures need no handling; only the time since the last response counts.
        if (!response) {
            return;
        }
        m_lastPeerResponseAt = std::chrono::steady_clock::now();
        m_domains.recordResponse(domain, m_lastPeerResponseAt);
        if (const auto versions = response->body.empty() ? std::nullopt : RegistryVersions::decode(response->body)) {
            m_versions.onPeerVersions(*versions);
        }
    });
}

void IsolationDetector::setIsolated(bool isIsolated)
{
    if (isIsolated == m_isIsolated) {
        return;
    }
    m_isIsolated = isIsolated;
    m_members.setDomainIsolated(isIsolated);
    logChange(isIsolated ? "isolated" : "reconnected", "instances_in_other_domains={}", m_members.instancesInOtherDomains().size());
    m_changes.onIsolationChanged(isIsolated);
}

} // namespace flamingo
