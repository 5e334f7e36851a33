#include "serving/drainschedule.h"

namespace flamingo
{

namespace
{
/// The load balancer routes callers to this instance until two readiness checks have failed.
constexpr Milliseconds BalancerRemovalTime{2600};
/// The process exits this long before the end of the stop grace period, when the platform would kill it.
constexpr Milliseconds KillMargin{400};
/// Time for the last answers to be sent.
constexpr Milliseconds FlushTime{150};
} // namespace

void DrainSchedule::begin(Instant now, Milliseconds gracePeriod)
{
    m_beganAt = now;
    m_endsAt = now + gracePeriod - KillMargin;
}

bool DrainSchedule::hasBegun() const
{
    return m_beganAt.has_value();
}

bool DrainSchedule::isClosingConnections(Instant now) const
{
    return m_beganAt && now - *m_beganAt >= BalancerRemovalTime;
}

bool DrainSchedule::mayAccept(Instant now, Instant deadline) const
{
    return !isClosingConnections(now) || deadline < m_endsAt - FlushTime;
}

bool DrainSchedule::isEndingRequests(Instant now) const
{
    return m_beganAt && now >= m_endsAt - FlushTime;
}

bool DrainSchedule::isOver(Instant now) const
{
    return m_beganAt && now >= m_endsAt;
}

} // namespace flamingo
