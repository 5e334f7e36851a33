#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "serving/memberdirectory.h"

namespace flamingo
{

/// A program without a turn for this long is over: its budget and what instances know of it may be forgotten.
constexpr Milliseconds ProgramIdleTimeout{180000};

/// Tells of each program whether this instance may let it run on a part of its budget that the store has not granted yet,
/// and whether another one may have done so. That needs no call: of all instances that are listed or have been lately, the
/// program's first home is the only one that lends, and only in a life that has lasted as long as a program that is idle
/// is remembered. So a former life's loans and those of a former home are over before anybody lends again. An instance
/// leaves the list only when the store knows all its loans.
class ProvisionalGrantPolicy
{
public:
    /// After the first start of all instances, until they have found each other.
    static constexpr Milliseconds DiscoveryTime{5000};

    /// All times are of a clock that goes on while the machine is suspended.
    ProvisionalGrantPolicy(const MemberDirectory &members, Instant startedAt);

    /// No program has begun anywhere before this instance started, so that there are no earlier loans.
    void setFirstStart();

    /// The life before this one has stopped as planned a short while ago, with all its loans told to the store.
    void setCleanRestart();

    /// The list of instances was just read.
    void onListRead(Instant now);

    /// Whether this life may leave the list: it knows of all loans of former lives, and others have seen it on the list.
    bool mayDeregister(Instant now) const;

    /// Whether this instance may let a program run that the store knows nothing of.
    bool mayGrant(const ProgramId &program, Instant now) const;

    /// Whether nobody but this instance can have lent to the program.
    bool isSoleGranter(const ProgramId &program, Instant now) const;

private:
    bool hasOutlivedEarlierGrants(Instant now) const;
    bool isListFresh(Instant now) const;

    const MemberDirectory &m_members;
    Instant m_startedAt;
    Instant m_listReadAt{};
    bool m_isFirstStart = false;
    bool m_isCleanRestart = false;
};

} // namespace flamingo
