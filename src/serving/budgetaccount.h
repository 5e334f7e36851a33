#pragma once

#include "serving/budgetrecord.h"
#include "serving/budgetrequest.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace flamingo
{

/// What a holder knows of its limit at one witness.
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
struct HolderFence {
    WitnessTerm term;
    std::optional<FencedLimit> limit; ///< Set when the witness has fenced the holder.
    Instant triedAt;
};

/// What one holder knows of a program's budget: the record as last seen, what its own turns have used of it, its limit at a
/// witness, and the turns that wait for tokens. Decides what may be used; does no I/O.
class BudgetAccount
{
public:
    struct Waiter {
        Tokens maxTokens;
        std::function<void(const BudgetAnswer &answer)> onAnswer;
    };

    BudgetAccount(ProgramId program, IncarnationId self);

    /// The holder that this account belongs to.
    const IncarnationId &self() const;

    /// What turns have used or reserved.
    Tokens committedTokens() const;

    /// What the record grants this holder.
    Tokens recordedGrant() const;

    /// What this holder has been granted, by the store or provisionally.
    Tokens grantedTokens() const;

    /// What turns may use now, in total.
    Tokens usableTokens() const;

    /// The least that the store must record for this holder.
    Tokens minimumGrant() const;

    /// What the waiting turns can use together.
    Tokens wantedTokens() const;

    /// The size of a provisional grant, for a first turn with this maximum.
    Tokens provisionalGrantFor(Tokens maxTokens) const;

    /// A write, a fence or a mark for provisional grants is in progress, and its result decides what comes next.
    bool isBusy() const;

    /// Whether this holder has never seen a record of the program.
    bool hasSeenNoRecord() const;

    /// Whether this holder has ended its part in the record.
    bool isClosed() const;

    /// Other holders that may still use their grants.
    std::vector<IncarnationId> otherHolders() const;

    /// Reserves a turn's maximum if it may be used now.
    bool tryReserve(Tokens maxTokens);

    /// Grants part of the budget without the store. Returns false if this holder has seen a record, or if the store may hold a
    /// write by which no more than a lower limit counts as spent here.
    bool tryGrantProvisionally(Tokens maxTokens);

    /// Takes a record that this holder has written.
    void adoptRecord(const BudgetRecord &written, std::uint64_t writtenRevision);

    /// Takes a record that another holder has written, or this one by a call whose response was lost.
    void adoptStoredRecord(BudgetRecord stored, std::uint64_t storedRevision);

    /// Names the witness in use, or the one chosen last, in a record that is about to be written.
    void nameWitness(BudgetRecord &proposed) const;

    /// Ends holders that were fenced, in a record that is about to be written.
    void applyFences(BudgetRecord &proposed) const;

    /// Answers all waiting turns alike.
    void failWaiters(const BudgetAnswer &answer);

    ProgramId program;
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
    std::map<IncarnationId, HolderFence> fences; ///< By holder.
    int fencesInProgress = 0;
    int lostWitnesses = 0; ///< Since a turn was last served.
    std::vector<Waiter> waiters;
    bool isWriting = false;
    bool isAwaitingMark = false; ///< Turns wait until a provisional grant may be made.
    bool hasUnknownWrite = false; ///< A write had no response, so the store may hold a grant that this holder doesn't know of.
    bool hasCreatedRecord = false; ///< The program had no record when this holder first saw it.
    bool wasSoleGranterAtStart = false; ///< Whether no other holder could have granted when this one first saw the program.
    bool isForwarded = false; ///< The last request was forwarded here, so it is not forwarded to another holder.
    int consecutiveFailures = 0;
    Instant lastUsedAt{};
    std::optional<Instant> unconfirmedSince; ///< Since when turns are refused because of other holders.

private:
    void adoptWitness();

    IncarnationId m_self;
};

} // namespace flamingo
