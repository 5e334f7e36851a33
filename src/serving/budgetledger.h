#pragma once

#include "serving/budgetaccount.h"
#include "serving/budgetrequest.h"
#include "serving/holderfencing.h"
#include "serving/witnessedlimits.h"

#include <functional>
#include <optional>
#include <unordered_map>

namespace flamingo
{

/// Keeps programs within their token budgets across all instances. A holder is granted large parts of a budget by the
/// store and reserves each turn's maximum out of them before the turn runs, so that most turns need no store call. A witness,
/// another instance that the record names, notes a limit of what the holder's turns use before they use it. When the holder is
/// gone, the next one has the witness fence it and is granted all that lies beyond that limit.
///
/// While the store is unreachable, a program's preferred home grants itself half of the budget provisionally. When
/// another holder creates the program's record, it holds back that half less one turn's maximum, so a budget may be exceeded
/// by one turn's maximum.
class BudgetLedger
{
public:
    using AnswerHandler = std::function<void(const BudgetAnswer &answer)>;
    using HolderCheck = std::function<bool(const IncarnationId &holder)>;
    using ProgramCheck = std::function<bool(const ProgramId &program)>;

    /// Conditions that depend on the other holders and on the store.
    struct Checks {
        HolderCheck isReachable; ///< Whether requests can be forwarded to another holder.
        ProgramCheck mayGrantProvisionally; ///< Whether this holder may grant itself part of a budget of which it has seen no record.
        ProgramCheck isSoleGranter; ///< Whether no other holder can have granted itself part of the program's budget.
        std::function<bool()> isStoreUnreachable = [] { return false; }; ///< The store has just failed, so a call would take long.
        /// Whether nobody can have made a provisional grant that isn't recorded, for a program without a record so far.
        ProgramCheck excludesUnrecordedGrants = [](const ProgramId &) { return false; };
        HolderCheck mayBeAlive = [](const IncarnationId &) { return true; }; ///< Whether a holder that can't be reached may come back.
        /// Whether the mark is stored without which no provisional grant may be made; see GrantMarks.
        std::function<bool()> isGrantMarked = [] { return true; };
        /// Stores that mark. The handler is told whether it is stored.
        std::function<void(std::function<void(bool isMarked)> onMarked)> storeGrantMark = [](const auto &onMarked) { onMarked(false); };
        /// Turns soon need what is held back for provisional grants that may not be recorded, of a program that had no record so far.
        std::function<void(const ProgramId &program)> onReserveNeeded = [](const ProgramId &) {};
    };

    /// Without a network of witnesses all that was granted to a holder that is gone counts as spent.
    BudgetLedger(IncarnationId self, BudgetStore &store, Checks checks, WitnessNetwork *witnesses = nullptr);

    /// Reserves a turn's maximum. The handler is called once, before this returns when the holder has enough tokens.
    void reserve(const BudgetRequest &request, Instant now, AnswerHandler onAnswer);

    /// Ends a reservation. `used` counts the generated tokens that may have reached the caller.
    void settle(const ProgramId &program, Tokens reserved, Tokens used, Instant now);

    /// Records provisional grants in the store. Does nothing while the store is unreachable.
    void recordProvisionalGrants();

    /// Whether there are provisional grants that the store may not have recorded.
    bool hasProvisionalGrants() const;

    /// Gives back tokens that are neither spent nor reserved, and later what running turns leave unused. No turn is accepted
    /// from here on.
    void beginRelease(Instant now);

    /// Drops programs that have been idle for longer than this. Their records are removed from the store, or tell what was spent
    /// here where other holders take part.
    void removeIdle(Milliseconds idle, Instant now);

    std::size_t programCount() const;

private:
    using SwapHandler = void (BudgetLedger::*)(BudgetAccount &account, const BudgetRecord &proposed, const SwapResult &result);

    BudgetAccount *findAccount(const ProgramId &program);
    bool tryGrantProvisionally(BudgetAccount &account, Tokens maxTokens) const;
    bool awaitGrantMark(BudgetAccount &account);
    void onGrantMarked(const ProgramId &program, bool isMarked);
    void requestTokens(BudgetAccount &account);
    void requestGrant(BudgetAccount &account);
    bool mayDropProvisionalReserve(const BudgetAccount &account) const;
    static bool hasOwnReserve(const BudgetAccount &account);
    void writeRecord(BudgetAccount &account, BudgetRecord proposed, SwapHandler onResult);
    void onGrantWritten(BudgetAccount &account, const BudgetRecord &proposed, const SwapResult &result);
    bool handleFailedWrite(BudgetAccount &account, SwapResult::Status status);
    void onLimitAnswered(BudgetAccount &account);
    void onFencesEnded(BudgetAccount &account);
    void serveWaiters(BudgetAccount &account);
    void handleShortage(BudgetAccount &account);
    void logShortage(const BudgetAccount &account, const BudgetAnswer &answer) const;
    BudgetAnswer shortageAnswer(BudgetAccount &account) const;
    bool mayChange(const BudgetAccount &account) const;
    std::optional<IncarnationId> reachableHolder(const BudgetAccount &account) const;
    std::optional<IncarnationId> reachableOtherHolder(const BudgetAccount &account) const;
    void release(BudgetAccount &account);
    void onReleaseWritten(BudgetAccount &account, const BudgetRecord &proposed, const SwapResult &result);
    void resign(const BudgetAccount &account);

    IncarnationId m_self;
    BudgetStore &m_store;
    Checks m_checks;
    WitnessedLimits m_limits;
    HolderFencing m_fencing;
    bool m_isReleasing = false;
    std::unordered_map<ProgramId, BudgetAccount> m_accounts;
};

} // namespace flamingo
