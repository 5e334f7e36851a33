#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "serving/incarnationid.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace flamingo
{

/// A program's budget as the store keeps it: the whole, and what each holder has been granted of it. What is granted to
/// a holder that has died counts as spent.
struct BudgetRecord {
    Tokens budget;
    std::map<IncarnationId, Tokens> granted;
    Tokens provisionalReserve; ///< Left alone, since the program's first home may have lent as much without having said so yet.

    Tokens remaining() const;

    std::string encode() const;
    static std::optional<BudgetRecord> decode(const std::string &bytes);
};

/// What became of writing a budget record on condition of its revision.
struct SwapResult {
    enum class Status {
        Done,
        Conflict, ///< The record was at another revision, given here with its bytes; absent when the revision is 0.
        Refused, ///< Nothing was written.
        Unknown, ///< No answer: it may have been written, or may be later.
    };

    Status status = Status::Unknown;
    std::uint64_t revision = 0;
    std::string bytes;
};

/// Where budget records are kept.
class BudgetStore
{
public:
    virtual ~BudgetStore() = default;
    virtual void
    compareAndSwap(const ProgramId &program, std::uint64_t expectedRevision, const std::string &bytes, std::function<void(SwapResult)> onResult) = 0;
    virtual void remove(const std::vector<ProgramId> &programs) = 0;
};

/// A turn that wants to run.
struct BudgetRequest {
    ProgramId program;
    Tokens budget; ///< Of the whole program.
    Tokens maxTokens; ///< What the turn generates at most.
    bool isForwarded = false; ///< Another instance has sent it here, so it isn't sent on.
};

enum class BudgetVerdict {
    Reserved,
    Exhausted, ///< Not even one more turn of this size fits.
    Unconfirmed, ///< The store didn't answer, or other holders have what is left.
    HeldElsewhere, ///< Another holder has the program's budget and lives.
};

/// The answer to a turn that wants to run.
struct BudgetAnswer {
    BudgetVerdict verdict = BudgetVerdict::Unconfirmed;
    IncarnationId holder; ///< Who has the budget, for Elsewhere.
};

/// Keeps programs within their token budgets over all instances. A holder takes large parts of a budget from the store
/// and reserves each turn's most out of them before the turn runs, so that most turns need no call to the store, and a
/// holder's death can only leave a budget under-used.
///
/// While the store is away, a program's first home lends it half of its budget. Whoever else creates the program's record
/// leaves that half alone, less one turn, by which a budget may be exceeded.
class BudgetLedger
{
public:
    using AnswerHandler = std::function<void(const BudgetAnswer &answer)>;
    using HolderCheck = std::function<bool(const IncarnationId &holder)>;
    using ProgramCheck = std::function<bool(const ProgramId &program)>;

    /// What a holder knows of itself and of the others.
    struct Checks {
        HolderCheck isReachable; ///< Whether another holder can be asked.
        ProgramCheck mayGrantProvisionally; ///< Whether this holder may lend to a program of which it knows no record.
        ProgramCheck isSoleGranter; ///< Whether nobody else can have lent to the program.
        std::function<bool()> isStoreUnreachable = [] { return false; }; ///< The store has just failed, so asking it would take time.
    };

    BudgetLedger(IncarnationId self, BudgetStore &store, Checks checks);

    /// Reserves a turn's most. The handler is called once, at once when the holder has enough.
    void reserve(const BudgetRequest &request, Instant now, AnswerHandler onAnswer);

    /// A reserved turn has ended and has generated so many tokens that may have reached the caller.
    void settle(const ProgramId &program, Tokens reserved, Tokens used, Instant now);

    /// Tells the store of what was lent while it was away.
    void recordProvisionalGrants();

    /// Whether there are loans that the store may not know of.
    bool hasProvisionalGrants() const;

    /// Gives back what is neither spent nor reserved, and what turns under way leave over; takes no turns any more.
    void beginRelease(Instant now);

    /// Forgets programs that have been idle for so long, and removes their records.
    void removeIdle(Milliseconds idle, Instant now);

    std::size_t programCount() const;

private:
    struct Waiter {
        Tokens maxTokens;
        AnswerHandler onAnswer;
    };
    struct Account {
        Tokens budget;
        BudgetRecord record; ///< As last seen in the store.
        std::uint64_t revision = 0;
        Tokens spent;
        Tokens reserved;
        Tokens provisionalGrant; ///< What was lent and the store has not been told of.
        Tokens provisionalLimit; ///< Up to which turns may run on it; part of it may be granted by now.
        std::vector<Waiter> waiters;
        bool isWriting = false;
        bool wasSoleGranterAtStart = false; ///< Nobody else could have lent when this holder first saw the program.
        bool isForwarded = false; ///< A waiter was sent here by the holder's stand-in, so nobody is asked before it.
        int consecutiveFailures = 0;
        Instant lastUsedAt{};
    };

    using SwapHandler = void (BudgetLedger::*)(const ProgramId &program, Account &account, const BudgetRecord &proposed, const SwapResult &result);

    Tokens usableTokens(const Account &account) const;
    Tokens minimumGrant(const Account &account) const;
    bool tryReserve(Account &account, Tokens maxTokens) const;
    bool tryGrantProvisionally(const ProgramId &program, Account &account, Tokens maxTokens) const;
    void adoptRecord(Account &account, const BudgetRecord &proposed, std::uint64_t revision) const;
    void requestGrant(const ProgramId &program, Account &account);
    bool mayDropProvisionalReserve(const ProgramId &program, const Account &account) const;
    void writeRecord(const ProgramId &program, Account &account, BudgetRecord proposed, SwapHandler onResult);
    void onGrantWritten(const ProgramId &program, Account &account, const BudgetRecord &proposed, const SwapResult &result);
    bool handleFailedWrite(const ProgramId &program, Account &account, SwapResult::Status status);
    void serveWaiters(const ProgramId &program);
    static void failWaiters(Account &account, const BudgetAnswer &answer);
    BudgetVerdict shortageVerdict(const Account &account) const;
    std::optional<IncarnationId> reachableHolder(const Account &account) const;
    void release(const ProgramId &program, Account &account);
    void onReleaseWritten(const ProgramId &program, Account &account, const BudgetRecord &proposed, const SwapResult &result);

    IncarnationId m_self;
    BudgetStore &m_store;
    Checks m_checks;
    bool m_isReleasing = false;
    std::unordered_map<ProgramId, Account> m_accounts;
};

} // namespace flamingo
