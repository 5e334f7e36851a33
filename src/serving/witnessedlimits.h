#pragma once

#include "serving/budgetaccount.h"
#include "serving/witnessbook.h"

#include <functional>

namespace flamingo
{

/// Has witnesses note the limits of what this holder's turns may use, and chooses them. An account's first limit of a term may
/// be used at once; a higher one when the witness has noted it.
class WitnessedLimits
{
public:
    struct Hooks {
        std::function<BudgetAccount *(const ProgramId &program)> findAccount; ///< nullptr if the program was dropped.
        std::function<bool(const ProgramId &program)> mayGrantProvisionally;
        std::function<bool()> isStoreUnreachable;
        std::function<void(BudgetAccount &account)> onAnswered; ///< A witness has noted a limit, refused it, or not responded.
    };

    /// Without a network of witnesses no limits are noted, and all functions do nothing.
    WitnessedLimits(WitnessNetwork *network, Hooks hooks);

    /// Whether turns may use this much in total as soon as the witness has noted it, without a new grant.
    bool canRaiseTo(const BudgetAccount &account, Tokens needed) const;

    /// Asks the witness for a limit that is enough for all waiting turns.
    void raise(BudgetAccount &account);

    /// Chooses a witness to be named in the next write, if none is in use.
    void chooseWitness(BudgetAccount &account);

    /// Whether the account has none, although there is an instance that could be its witness.
    bool lacksWitness(const BudgetAccount &account) const;

    /// After a turn: asks for a limit that covers what was spent and one more turn, so that this one needn't wait.
    void update(BudgetAccount &account);

    /// After a write: the first limit of a term may be higher than turns need from then on.
    void lower(BudgetAccount &account);

private:
    bool mayRaise(const BudgetAccount &account) const;
    Tokens limitInOutage(const BudgetAccount &account, Tokens limit) const;
    Tokens expectedLimit(const BudgetAccount &account) const;
    void send(BudgetAccount &account, WitnessedLimit &witnessed, Tokens limit);
    void onNoted(const ProgramId &program, WitnessTerm term, Tokens limit, NoteResult result);

    WitnessNetwork *m_network;
    Hooks m_hooks;
    WitnessTerm m_lastTerm; ///< Terms are never used again, also for programs that were dropped in between.
};

} // namespace flamingo
