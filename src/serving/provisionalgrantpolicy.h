#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "serving/grantsurvey.h"
#include "serving/memberdirectory.h"

#include <optional>

namespace flamingo
{

/// A program without a turn for this long has ended: its budget and other state may be dropped.
constexpr Milliseconds ProgramIdleTimeout{180000};

/// Decides whether this instance may make a provisional grant to a program, that is let it use part of its budget before
/// the store has recorded the grant, and whether another instance may have done so. No call is needed: of all instances
/// that are listed or were so lately, only the program's preferred home makes provisional grants, and only once it has run
/// for ProgramIdleTimeout, or for DiscoveryTime after the first start of a deployment. So provisional grants of its earlier
/// incarnations and of former homes are over before new ones are made. An instance leaves the list only when the store has
/// recorded all its provisional grants.
class ProvisionalGrantPolicy
{
public:
    /// Time after the first start of a deployment within which its instances see each other.
    static constexpr Milliseconds DiscoveryTime{5000};

    /// All times are of a clock that also runs while the machine is suspended.
    ProvisionalGrantPolicy(const MemberDirectory &members, Instant startedAt);

    /// No program ran anywhere before this instance started, so there are no earlier provisional grants.
    void setFirstStart();

    /// The previous incarnation shut down as planned a short time ago, with all its provisional grants recorded.
    void setCleanRestart();

    /// No earlier incarnation of this instance has provisional grants that the store hasn't recorded.
    void setEarlierGrantsExcluded();

    /// This instance has asked to be put on the member list. Until it is on the list it makes no provisional grants.
    void setRegistering();

    /// The entry was accepted. Without an earlier entry, no earlier incarnation of this instance has unrecorded provisional grants,
    /// since an instance leaves the list only with all its grants recorded.
    void setRegistered(bool hadEarlierEntry, Instant now);

    /// Another instance has fenced this one, since it couldn't be reached, and may have let others use budgets of which this one has seen
    /// no record.
    void setFenced(Instant now);

    /// The member list was up to date at that time.
    void onListRead(Instant confirmedAt);

    /// Whether this instance may leave the list: provisional grants of its earlier incarnations are recorded or over, and the
    /// other instances have seen it on the list.
    bool mayDeregister(Instant now) const;

    /// Whether this instance may make a provisional grant to the program.
    bool mayGrant(const ProgramId &program, Instant now) const;

    /// Whether no other instance can have made a provisional grant to the program.
    bool isSoleGranter(const ProgramId &program, Instant now) const;

    /// Whether neither this instance's earlier incarnations nor other instances can have made a provisional grant to the program
    /// that the store hasn't recorded, for a program that had no record when this instance first saw it.
    bool excludesUnrecordedGrants(const ProgramId &program, Instant now) const;

    /// Whether the other instances have to be asked about their provisional grants.
    bool needsSurvey(Instant now) const;
    GrantSurvey &survey();

    /// This instance's own answer to the survey of another one.
    GrantSurveyAnswer surveyAnswer(bool hasUnrecordedGrants, Instant now) const;

private:
    bool hasOutlivedEarlierGrants(Instant now) const;
    bool isListFresh(Instant now) const;
    bool hasNoEarlierGrants() const;
    bool wasFencedLately(Instant now) const;
    bool isOnAllLists(Instant now) const;
    bool areOutrankingInstancesFenced(const ProgramId &program) const;

    const MemberDirectory &m_members;
    GrantSurvey m_survey;
    Instant m_startedAt;
    Instant m_listReadAt{}; ///< When the member list was last known to be up to date.
    Instant m_registeredAt{};
    std::optional<Instant> m_fencedAt;
    bool m_isFirstStart = false;
    bool m_isCleanRestart = false;
    bool m_areEarlierGrantsExcluded = false;
    bool m_isNewMember = false; ///< There was no earlier entry in the member list.
};

} // namespace flamingo
