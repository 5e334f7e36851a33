#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "serving/fleet.h"

namespace flamingo
{

/// A program without a turn for this long is over: its budget and what instances know of it may be forgotten.
constexpr Milliseconds ProgramIdleLife{180000};

/// Tells of each program whether this instance may let it run on a part of its budget that the store has not granted yet,
/// and whether another one may have done so. That needs no call: of all instances that are listed or have been lately, the
/// program's first home is the only one that lends, and only in a life that has lasted as long as a program that is idle
/// is remembered. So a former life's loans and those of a former home are over before anybody lends again. An instance
/// leaves the list only when the store knows all its loans.
class Lender
{
public:
    /// After the first start of all instances, until they have found each other.
    static constexpr Milliseconds FirstSettleTime{5000};

    /// All times are of a clock that goes on while the machine is suspended.
    Lender(const Fleet &fleet, Instant startedAt);

    /// No program has begun anywhere before this instance started, so that there are no earlier loans.
    void setFirstStart();

    /// The life before this one has stopped as planned a short while ago, with all its loans told to the store.
    void setCleanStart();

    /// The list of instances was just read.
    void onFleetRead(Instant now);

    /// Whether this life may leave the list: it knows of all loans of former lives, and others have seen it on the list.
    bool mayLeave(Instant now) const;

    /// Whether this instance may let a program run that the store knows nothing of.
    bool mayLend(const ProgramId &program, Instant now) const;

    /// Whether nobody but this instance can have lent to the program.
    bool isSoleLender(const ProgramId &program, Instant now) const;

private:
    bool isSettled(Instant now) const;
    bool isListNew(Instant now) const;

    const Fleet &m_fleet;
    Instant m_startedAt;
    Instant m_fleetReadAt{};
    bool m_isFirstStart = false;
    bool m_isCleanStart = false;
};

} // namespace flamingo
