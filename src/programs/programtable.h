#pragma once

#include "core/error.h"
#include "programs/program.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace flamingo
{

/// The limits that an agent's definition sets for its programs.
struct ProgramLimits {
    std::uint32_t maxTurns = 200;
    Milliseconds maxDuration{3600000};
};

/// A call as it comes in.
struct CallRequest {
    ProgramId program;
    CallNumber number;
    Digest requestDigest; ///< Of all that decides the call's effect.
    Tokens maxCost; ///< The most that it can cost.
};

/// The call has its outcome already.
struct ReplayTurn {
    Turn turn;
};

/// The call is under way.
struct AttachToRunningCall {
};

/// The call is the program's next one.
struct RunNextCall {
};

using Admission = std::variant<ReplayTurn, AttachToRunningCall, RunNextCall>;

/// The programs of one shard. Their state is changed by records only, so that replaying a journal gives the same state.
/// It runs ahead of the journal: whoever appends the records waits for them where that matters.
class ProgramTable
{
public:
    /// Applies a record. Refuses one that doesn't fit the state: a turn on another history, a doubled claim.
    Result<void> apply(const Record &record);

    const Program *find(const ProgramId &program) const;

    /// The program if it belongs to the caller; else it is unknown to that caller.
    Result<const Program *> findForCaller(const CallerId &caller, const ProgramId &program) const;

    /// Decides what to do with a call. Checks order, identity, end, limits and budget.
    Result<Admission> admit(const CallRequest &call, const ProgramLimits &limits, std::int64_t nowMs) const;

    /// Marks the program's next call as under way, or as no longer so. Not part of the durable state.
    void setRunningRequest(const ProgramId &program, std::optional<Digest> requestDigest);

    /// Whether the budget that a call needs is covered by what the journal has reserved.
    bool isBudgetReserved(const ProgramId &program, Tokens maxCost) const;

    /// The reservation to journal for a call: several calls' worth, within the budget.
    BudgetReserved nextReservation(const ProgramId &program, Tokens maxCost) const;

    /// The records by which a new owner settles what the last one left, after TakeoverSettled: claims without an outcome
    /// become outcomes that say so.
    std::vector<Record> unresolvedClaimOutcomes() const;

    /// The programs that belong to this one and haven't ended, the deepest first.
    std::vector<ProgramId> runningDescendants(const ProgramId &program) const;

    std::vector<ProgramId> programIds() const;
    std::size_t size() const;

    /// The whole state in pieces of at most about maxBytes, unless one program alone is larger.
    std::vector<std::string> encodeSnapshot(std::size_t maxBytes) const;

    /// Adds the programs of one piece.
    bool restoreSnapshotChunk(const std::string &chunk);

private:
    struct Entry {
        Program program;
        std::optional<Digest> runningRequest;
    };

    Result<void> applyRecord(const ProgramStarted &record);
    Result<void> applyRecord(const BudgetReserved &record);
    Result<void> applyRecord(const CallClaimed &record);
    Result<void> applyRecord(const ClaimWithdrawn &record);
    Result<void> applyRecord(const TurnCommitted &record);
    Result<void> applyRecord(const ProgramEnded &record);
    Result<void> applyRecord(const ProgramRemoved &record);
    Result<void> applyRecord(const ShardTakenOver &record);

    Program *findMutable(const ProgramId &program);

    std::unordered_map<ProgramId, Entry> m_programs;
    std::unordered_map<ProgramId, std::vector<ProgramId>> m_children;
};

} // namespace flamingo
