#include "serving/lender.h"

namespace flamingo
{

namespace
{
/// Until all others have seen a newcomer on the list, also where a watch heard nothing.
constexpr Milliseconds SeenTime{10000};
} // namespace

Lender::Lender(const Fleet &fleet, Instant startedAt)
    : m_fleet(fleet)
    , m_startedAt(startedAt)
{
}

void Lender::setFirstStart()
{
    m_isFirstStart = true;
}

void Lender::setCleanStart()
{
    m_isCleanStart = true;
}

void Lender::onFleetRead(Instant now)
{
    m_fleetReadAt = now;
}

bool Lender::isSettled(Instant now) const
{
    return m_isFirstStart ? m_fleetReadAt - m_startedAt >= FirstSettleTime : now - m_startedAt >= ProgramIdleLife;
}

bool Lender::isListNew(Instant now) const
{
    return m_fleet.isLoaded() && now - m_fleetReadAt <= Fleet::MostListAge;
}

bool Lender::mayLeave(Instant now) const
{
    const auto age = now - m_startedAt;
    return age >= ProgramIdleLife || (age >= SeenTime && (m_isFirstStart || m_isCleanStart));
}

bool Lender::mayLend(const ProgramId &program, Instant now) const
{
    return isListNew(now) && isSettled(now) && m_fleet.isFirstHome(program) && m_fleet.wasFirstHome(program);
}

// Before the instances have found each other nobody lends. A former home that has left the list is owed nothing.
bool Lender::isSoleLender(const ProgramId &program, Instant now) const
{
    const bool isBeforeAll = m_isFirstStart && now - m_startedAt < FirstSettleTime;
    const bool isClear = isBeforeAll || m_isCleanStart || isSettled(now);
    return isClear && isListNew(now) && m_fleet.isFirstHome(program);
}

} // namespace flamingo
