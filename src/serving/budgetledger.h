#pragma once

#include "core/time.h"
#include "serving/budgetrecord.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace flamingo
{

/// A turn that needs tokens reserved before it runs.
struct BudgetRequest {
    ProgramId program;
    Tokens budget; ///< Of the whole program.
    Tokens maxTokens; ///< The most that the turn can generate.
    bool isForwarded = false; ///< Another instance forwarded it here, so it isn't forwarded again.
};

enum class BudgetVerdict {
    Reserved,
    Exhausted, ///< No turn of this size fits into the budget any more.
    Unconfirmed, ///< The store didn't respond, or other holders have what is left.
    HeldElsewhere, ///< Another holder has the program's budget and can be reached.
};

/// Result of a reservation.
struct BudgetAnswer {
    BudgetVerdict verdict = BudgetVerdict::Unconfirmed;
    IncarnationId holder; ///< The one that has the budget, for HeldElsewhere.
    Milliseconds retryAfter{0}; ///< For Unconfirmed: when other holders may have been reached; 0 if the store didn't respond.
};

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
    struct Waiter {
        Tokens maxTokens;
        AnswerHandler onAnswer;
    };
    /// What the holder knows of its limit at one witness.
    struct WitnessedLimit {
        NamedWitness witness;
        Tokens noted; ///< Turns use no more than this in total: the first limit of the term, then the last one that was noted.
        Tokens lastSent;
        std::uint64_t sequence = 0;
        bool isSending = false;
        bool isLost = false; ///< The witness didn't respond, so another one is chosen if possible. The noted limit stays valid.
        bool isRefused = false; ///< The witness notes nothing more at this term.
    };
    /// An attempt to have another holder fenced.
    struct Fence {
        WitnessTerm term;
        std::optional<FencedLimit> limit; ///< Set when the witness has fenced the holder.
        Instant triedAt;
    };
    struct Account {
        Tokens budget;
        BudgetRecord record; ///< As last read from or written to the store.
        std::uint64_t revision = 0;
        Tokens spent;
        Tokens reserved;
        Tokens lastTurnMaximum; ///< What the next turn is expected to reserve.
        Tokens provisionalGrant; ///< Granted without the store and not recorded there yet.
        Tokens provisionalLimit; ///< Limit of what turns may use under a provisional grant; part of it may be recorded by now.
        std::optional<WitnessedLimit> witness; ///< The one that the record names.
        std::optional<WitnessedLimit> nextWitness; ///< Named in a write that the store hasn't confirmed.
        /// The lowest first limit of a term that a write without a response may have named. Until the record is read, no more than
        /// that may be used, so nothing is raised at the witness before.
        std::optional<Tokens> unconfirmedLimit;
        std::map<IncarnationId, Fence> fences; ///< By holder.
        int fencesInProgress = 0;
        int lostWitnesses = 0; ///< Since a turn was last served.
        std::vector<Waiter> waiters;
        bool isWriting = false;
        bool hasUnknownWrite = false; ///< A write had no response, so the store may hold a grant that this holder doesn't know of.
        bool hasCreatedRecord = false; ///< The program had no record when this holder first saw it.
        bool wasSoleGranterAtStart = false; ///< Whether no other holder could have granted when this one first saw the program.
        bool isForwarded = false; ///< The last request was forwarded here, so it is not forwarded to another holder.
        int consecutiveFailures = 0;
        Instant lastUsedAt{};
        std::optional<Instant> unconfirmedSince; ///< Since when turns are refused because of other holders.
    };

    using SwapHandler = void (BudgetLedger::*)(const ProgramId &program, Account &account, const BudgetRecord &proposed, const SwapResult &result);

    Tokens grantedTokens(const Account &account) const;
    Tokens usableTokens(const Account &account) const;
    Tokens minimumGrant(const Account &account) const;
    static Tokens wantedTokens(const Account &account);
    bool tryReserve(Account &account, Tokens maxTokens) const;
    bool tryGrantProvisionally(const ProgramId &program, Account &account, Tokens maxTokens) const;
    static bool isBusy(const Account &account);
    void adoptRecord(Account &account, const BudgetRecord &proposed, std::uint64_t revision) const;
    void adoptStoredRecord(Account &account, BudgetRecord stored, std::uint64_t revision) const;
    void adoptWitness(Account &account) const;
    void requestTokens(const ProgramId &program, Account &account);
    void requestGrant(const ProgramId &program, Account &account);
    bool mayDropProvisionalReserve(const ProgramId &program, const Account &account) const;
    void writeRecord(const ProgramId &program, Account &account, BudgetRecord proposed, SwapHandler onResult);
    void onGrantWritten(const ProgramId &program, Account &account, const BudgetRecord &proposed, const SwapResult &result);
    bool handleFailedWrite(const ProgramId &program, Account &account, SwapResult::Status status);
    void serveWaiters(const ProgramId &program);
    static void failWaiters(Account &account, const BudgetAnswer &answer);
    void handleShortage(const ProgramId &program, Account &account);
    void logShortage(const ProgramId &program, const Account &account, const BudgetAnswer &answer) const;
    BudgetAnswer shortageAnswer(Account &account) const;
    bool mayChange(const Account &account) const;
    std::optional<IncarnationId> reachableHolder(const Account &account) const;
    bool holdsOpenGrant(const Account &account, const IncarnationId &holder) const;

    void chooseWitness(const ProgramId &program, Account &account);
    void nameWitness(const Account &account, BudgetRecord &proposed) const;
    bool mayRaiseLimit(const Account &account) const;
    Tokens limitInOutage(const Account &account, Tokens limit) const;
    void raiseLimit(const ProgramId &program, Account &account);
    bool lacksWitness(const ProgramId &program, const Account &account) const;
    void updateLimit(const ProgramId &program, Account &account);
    Tokens expectedLimit(const Account &account) const;
    void lowerLimit(const ProgramId &program);
    void sendLimit(const ProgramId &program, Account &account, WitnessedLimit &witnessed, Tokens limit);
    void onLimitNoted(const ProgramId &program, WitnessTerm term, Tokens limit, NoteResult result);
    bool fenceHolders(const ProgramId &program, Account &account, bool areReachableIncluded);
    void onFenceEnded(const ProgramId &program);
    static void applyFences(const Account &account, BudgetRecord &proposed);

    void release(const ProgramId &program, Account &account);
    void onReleaseWritten(const ProgramId &program, Account &account, const BudgetRecord &proposed, const SwapResult &result);
    void resign(const ProgramId &program, const Account &account);

    IncarnationId m_self;
    BudgetStore &m_store;
    Checks m_checks;
    WitnessNetwork *m_witnesses;
    WitnessTerm m_lastTerm; ///< Terms are never used again, also for programs that were dropped in between.
    bool m_isReleasing = false;
    std::unordered_map<ProgramId, Account> m_accounts;
};

} // namespace flamingo
