#include "serving/lender.h"

#include <algorithm>
#include <utility>

namespace flamingo
{

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

void Lender::onClosedRead(std::set<ProgramId> closed, Instant at)
{
    m_closed = std::move(closed);
    m_closedReadAt = at;
}

bool Lender::isSettled() const
{
    const Milliseconds settleTime = m_isFirstStart ? FirstSettleTime : ProgramIdleLife;
    return std::min(m_fleetReadAt, m_closedReadAt) - m_startedAt >= settleTime;
}

bool Lender::isListNew(Instant now) const
{
    return m_fleet.isLoaded() && now - m_fleetReadAt <= Fleet::MostListAge;
}

bool Lender::knowsFormerLoans(Instant now) const
{
    return m_isFirstStart || m_isCleanStart || now - m_startedAt >= ProgramIdleLife;
}

bool Lender::mayLend(const ProgramId &program, Instant now) const
{
    const bool isOpen = m_closed.count(program) == 0;
    return isOpen && isListNew(now) && isSettled() && m_fleet.isFirstHome(program) && m_fleet.wasFirstHome(program);
}

// Before the instances have found each other nobody lends. A former home that has left the list is owed nothing.
bool Lender::isSoleLender(const ProgramId &program, Instant now) const
{
    const bool isBeforeAll = m_isFirstStart && now - m_startedAt < FirstSettleTime;
    return (isBeforeAll || (isListNew(now) && (m_isCleanStart || isSettled()))) && m_fleet.isFirstHome(program);
}

} // namespace flamingo
