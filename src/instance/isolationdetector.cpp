#include "instance/isolationdetector.h"

#include "core/log.h"

#include <algorithm>

namespace flamingo
{

namespace
{
constexpr Milliseconds CheckPeriod{100};
/// Calls come and go all the time, so after this long without an answer from elsewhere the instance asks.
constexpr Milliseconds QuietLimit{250};
/// Then the store too is asked after a moment.
constexpr Milliseconds PingPatience{150};
/// Without any answer for this long the instance takes itself as cut off.
constexpr Milliseconds SilenceLimit{800};
constexpr Milliseconds PingConnectLimit{300};
constexpr std::size_t PingsAtOnce = 2;
} // namespace

IsolationWatch::IsolationWatch(TimerService &timers, MemberDirectory &fleet, LinkPool &peers, StoreHooks store, std::function<void(bool)> onChange)
    : m_timers(timers)
    , m_fleet(fleet)
    , m_peers(peers)
    , m_store(std::move(store))
    , m_onChange(std::move(onChange))
{
}

void IsolationWatch::start()
{
    m_heardAt = std::chrono::steady_clock::now();
    m_timers.every(m_heardAt, CheckPeriod, [this](Instant now) { check(now); });
}

bool IsolationWatch::isIsolated() const
{
    return m_isIsolated;
}

void IsolationWatch::onHeard(const InstanceId &from)
{
    const MemberRecord *member = m_fleet.find(from);
    if (member && member->domain != m_fleet.ownDomain()) {
        m_heardAt = std::chrono::steady_clock::now();
    }
}

void IsolationWatch::check(Instant now)
{
    const std::vector<MemberRecord> members = m_fleet.instancesInOtherDomains();
    if (members.empty()) {
        return;
    }
    const auto quiet = now - m_heardAt;
    if (quiet > QuietLimit && now - m_askedAt > QuietLimit) {
        m_askedAt = now;
        for (std::size_t n = 0; n < std::min(PingsAtOnce, members.size()); ++n) {
            ping(members[m_next++ % members.size()]);
        }
        if (quiet > QuietLimit + PingPatience) {
            m_store.probe();
        }
    }
    setIsolated(now - std::max(m_heardAt, m_store.answeredAt()) > SilenceLimit);
}

void IsolationWatch::ping(const MemberRecord &member)
{
    LinkRequest request;
    request.address = member.peerAddress;
    request.head.method = "GET";
    request.head.target = PingPath;
    request.head.fields.add("Host", member.peerAddress.text());
    request.connectTimeout = PingConnectLimit;
    CallHandlers handlers;
    handlers.onComplete = [this] { m_heardAt = std::chrono::steady_clock::now(); };
    // A failure needs nothing: that no answer came for a while is what counts.
    m_peers.call(std::move(request), std::move(handlers));
}

void IsolationWatch::setIsolated(bool isIsolated)
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
