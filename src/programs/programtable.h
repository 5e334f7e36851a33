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

/// The properties of an incoming call that decide on its admission.
struct CallRequest {
    ProgramId program;
    CallNumber number;
    Digest requestDigest; ///< Digest of everything that determines the call's effect; equal for a repeated request.
    Tokens maxCost; ///< Upper bound of the call's cost.
};

/// The call already has an outcome, which is returned again.
struct ReplayTurn {
    Turn turn;
};

/// The same call is running; the caller gets its answer.
struct AttachToRunningCall {
};

/// The call is the program's next one and can run.
struct RunNextCall {
};

/// How an admitted call is answered.
using Admission = std::variant<ReplayTurn, AttachToRunningCall, RunNextCall>;

/// The programs of one shard. Their durable state is changed by records only, so that replaying a journal rebuilds it.
///
/// Records are applied before they are committed to the journal. Code that appends records waits for the commit where an
/// effect depends on it.
class ProgramTable
{
public:
    /// Applies a record. Fails if the record contradicts the state, such as a turn that extends another history or a second
    /// claim.
    Result<void> apply(const Record &record);

    /// Returns nullptr for an unknown program.
    const Program *find(const ProgramId &program) const;

    /// Finds a program of the caller. Another caller's program gives the same error as one that doesn't exist.
    Result<const Program *> findForCaller(const CallerId &caller, const ProgramId &program) const;

    /// Decides how a call is answered. Checks the call's number, whether a repeated call has the same request, whether the
    /// program has ended, the limits and the budget. The time is wall clock, in milliseconds since 1970.
    Result<Admission> admit(const CallRequest &call, const ProgramLimits &limits, std::int64_t nowMs) const;

    /// Sets the request of the program's running call, or clears it. Not part of the durable state.
    void setRunningRequest(const ProgramId &program, std::optional<Digest> requestDigest);

    /// Whether the reserved part of the budget covers a further call with this cost.
    bool isBudgetReserved(const ProgramId &program, Tokens maxCost) const;

    /// The reservation to journal for a call. It covers several calls with this cost, as far as the budget allows.
    BudgetReserved nextReservation(const ProgramId &program, Tokens maxCost) const;

    /// Records that a new owner journals after ShardTakenOver. Each gives a claim without an outcome the outcome
    /// ErrorKind::OutcomeUnknown, since the previous owner may have sent the call.
    std::vector<Record> unresolvedClaimOutcomes() const;

    /// Sub-agents of the program, at any depth, that haven't ended. Children come before their parents.
    std::vector<ProgramId> runningDescendants(const ProgramId &program) const;

    std::vector<ProgramId> programIds() const;
    std::size_t size() const;

    /// Encodes the durable state as chunks of about \p maxBytes at most; a larger program gets a chunk of its own.
    std::vector<std::string> encodeSnapshot(std::size_t maxBytes) const;

    /// Adds the programs of one chunk. Returns false if the chunk isn't a CBOR array.
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
