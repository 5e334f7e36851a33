#include "instance/isolationwatch.h"

#include "core/log.h"

#include <algorithm>

namespace flamingo
{

namespace
{
constexpr Milliseconds CheckPeriod{250};
/// Without any answer for this long the instance takes itself as cut off.
constexpr Milliseconds SilenceLimit{900};
constexpr Milliseconds PingConnectLimit{300};
constexpr std::size_t PingsAtOnce = 2;
} // namespace

IsolationWatch::IsolationWatch(TimerService &timers, Fleet &fleet, LinkPool &peers, std::function<bool()> isStoreSuspect, std::function<void(bool)> onChange)
    : m_timers(timers)
    , m_fleet(fleet)
    , m_peers(peers)
    , m_isStoreSuspect(std::move(isStoreSuspect))
    , m_onChange(std::move(onChange))
{
}

void IsolationWatch::start()
{
    m_timers.every(std::chrono::steady_clock::now(), CheckPeriod, [this](Instant now) { check(now); });
}

bool IsolationWatch::isIsolated() const
{
    return m_isIsolated;
}

void IsolationWatch::check(Instant now)
{
    if (!m_isStoreSuspect()) {
        m_suspectSince.reset();
        m_lastAnswer.reset();
        setIsolated(false);
        return;
    }
    m_suspectSince = m_suspectSince.value_or(now);
    const std::vector<FleetMember> members = m_fleet.othersElsewhere();
    if (members.empty()) {
        return;
    }
    for (std::size_t n = 0; n < std::min(PingsAtOnce, members.size()); ++n) {
        ping(members[m_next++ % members.size()]);
    }
    setIsolated(now - m_lastAnswer.value_or(*m_suspectSince) > SilenceLimit);
}

void IsolationWatch::ping(const FleetMember &member)
{
    LinkRequest request;
    request.address = member.peers;
    request.head.method = "GET";
    request.head.target = PingPath;
    request.head.fields.add("Host", member.peers.text());
    request.connectTimeout = PingConnectLimit;
    CallHandlers handlers;
    handlers.onComplete = [this] { m_lastAnswer = std::chrono::steady_clock::now(); };
    // A failure needs nothing: that no answer came for a while is what counts.
    m_peers.call(std::move(request), std::move(handlers));
}

void IsolationWatch::setIsolated(bool isIsolated)
{
    if (isIsolated == m_isIsolated) {
        return;
    }
    m_isIsolated = isIsolated;
    m_fleet.setCutOff(isIsolated);
    logChange(isIsolated ? "cut-off" : "reconnected", "instances_elsewhere={}", m_fleet.othersElsewhere().size());
    m_onChange(isIsolated);
}

} // namespace flamingo
