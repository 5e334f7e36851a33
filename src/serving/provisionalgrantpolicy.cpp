#include "serving/provisionalgrantpolicy.h"

#include <algorithm>

namespace flamingo
{

namespace
{
/// Time within which all other instances see a new member on the list, also when a watch missed the change.
constexpr Milliseconds ListPropagationTime{10000};
} // namespace

ProvisionalGrantPolicy::ProvisionalGrantPolicy(const MemberDirectory &members, Instant startedAt)
    : m_members(members)
    , m_survey(members)
    , m_startedAt(startedAt)
{
}

void ProvisionalGrantPolicy::setFirstStart()
{
    m_isFirstStart = true;
}

void ProvisionalGrantPolicy::setCleanRestart()
{
    m_isCleanRestart = true;
}

void ProvisionalGrantPolicy::setEarlierGrantsExcluded()
{
    m_areEarlierGrantsExcluded = true;
}

void ProvisionalGrantPolicy::setRegistering()
{
    m_registeredAt = Instant::max();
}

void ProvisionalGrantPolicy::setRegistered(bool hadEarlierEntry, Instant now)
{
    if (m_registeredAt == Instant::max()) {
        m_registeredAt = now;
        m_isNewMember = !hadEarlierEntry;
    }
}

void ProvisionalGrantPolicy::setFenced(Instant now)
{
    m_fencedAt = now;
}

bool ProvisionalGrantPolicy::wasFencedLately(Instant now) const
{
    return m_fencedAt && now - *m_fencedAt < ProgramIdleTimeout;
}

void ProvisionalGrantPolicy::onListRead(Instant confirmedAt)
{
    m_listReadAt = std::max(m_listReadAt, confirmedAt);
}

bool ProvisionalGrantPolicy::hasOutlivedEarlierGrants(Instant now) const
{
    return m_isFirstStart ? m_listReadAt - m_startedAt >= DiscoveryTime : now - m_startedAt >= ProgramIdleTimeout;
}

bool ProvisionalGrantPolicy::isListFresh(Instant now) const
{
    return m_members.isLoaded() && now - m_listReadAt <= MemberDirectory::MaxListAge;
}

bool ProvisionalGrantPolicy::mayDeregister(Instant now) const
{
    const auto age = now - m_startedAt;
    return age >= ProgramIdleTimeout || (age >= ListPropagationTime && (m_isFirstStart || m_isCleanRestart || m_isNewMember));
}

bool ProvisionalGrantPolicy::mayGrant(const ProgramId &program, Instant now) const
{
    return m_listReadAt >= m_registeredAt && isListFresh(now) && hasOutlivedEarlierGrants(now) && !wasFencedLately(now) && m_members.isPreferredHome(program)
           && m_members.isPreferredOverRemoved(program);
}

// During discovery no instance grants provisionally. A former home that has left the list has recorded all its grants.
bool ProvisionalGrantPolicy::isSoleGranter(const ProgramId &program, Instant now) const
{
    const bool isDiscovering = m_isFirstStart && now - m_startedAt < DiscoveryTime;
    const bool areEarlierGrantsOver = isDiscovering || m_isCleanRestart || hasOutlivedEarlierGrants(now);
    return areEarlierGrantsOver && isListFresh(now) && m_members.isPreferredHome(program);
}

bool ProvisionalGrantPolicy::hasNoEarlierGrants() const
{
    return m_isFirstStart || m_isCleanRestart || m_isNewMember || m_areEarlierGrantsExcluded;
}

// Whether each instance that may still make provisional grants has this one on its list, and each program that one without it may have
// granted to has ended.
bool ProvisionalGrantPolicy::isOnAllLists(Instant now) const
{
    return m_isFirstStart || (m_registeredAt <= now && now - m_registeredAt >= MemberDirectory::MaxListAge + ProgramIdleTimeout);
}

bool ProvisionalGrantPolicy::areOutrankingInstancesFenced(const ProgramId &program) const
{
    const std::vector<MemberRecord> members = m_members.outrankingInstances(program);
    return std::all_of(members.begin(), members.end(), [this](const MemberRecord &it) { return m_survey.isFenced(it); });
}

bool ProvisionalGrantPolicy::excludesUnrecordedGrants(const ProgramId &program, Instant now) const
{
    // A list that was read after this instance's registration holds all others that may not know of it.
    const bool isListComplete = m_listReadAt >= m_registeredAt && isListFresh(now);
    const bool hasNoOwnGrants = hasNoEarlierGrants() || hasOutlivedEarlierGrants(now);
    return hasNoOwnGrants && isListComplete && areOutrankingInstancesFenced(program) && (isOnAllLists(now) || m_survey.excludesGrants(program));
}

bool ProvisionalGrantPolicy::needsSurvey(Instant now) const
{
    return !m_isFirstStart && hasNoEarlierGrants() && m_registeredAt <= now && now - m_startedAt < ProgramIdleTimeout;
}

GrantSurvey &ProvisionalGrantPolicy::survey()
{
    return m_survey;
}

GrantSurveyAnswer ProvisionalGrantPolicy::surveyAnswer(bool hasUnrecordedGrants, Instant now) const
{
    const bool isListed = m_registeredAt <= now;
    const bool mayHaveEarlierGrants = !hasNoEarlierGrants() && !hasOutlivedEarlierGrants(now);
    return {hasUnrecordedGrants, mayHaveEarlierGrants, isListed ? std::chrono::duration_cast<Milliseconds>(now - m_registeredAt) : Milliseconds(0)};
}

} // namespace flamingo
