#pragma once

#include "core/codec.h"
#include "core/digest.h"
#include "core/error.h"
#include "core/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace flamingo
{

/// The priority classes of programs; a lower number goes first.
enum class PriorityClass { Urgent = 0, Normal = 1, Batch = 2 };

constexpr int PriorityClassCount = 3;

std::optional<PriorityClass> priorityFromName(const std::string &name);
const char *priorityName(PriorityClass priority);

/// A priority is written as its name. An unknown name is read as PriorityClass::Normal.
void to_json(nlohmann::json &json, const PriorityClass &priority);
void from_json(const nlohmann::json &json, PriorityClass &priority);

/// Result of a call, as stored in the program's history.
struct Outcome {
    std::string text; ///< The answer; with an error, the endpoint's response if there was one.
    std::optional<std::string> error; ///< The name of an ErrorKind.
    Tokens cost; ///< Charged to the program's budget.
    Tokens contextTokens; ///< Length of the history after this turn: the engine's count, or an estimate after a service call.
};

/// A program was started.
struct ProgramStarted {
    ProgramId program;
    CallerId caller;
    AgentId agent;
    PriorityClass priority = PriorityClass::Normal;
    Tokens budget; ///< Taken from the parent's budget for a sub-agent.
    Tokens reserved; ///< Part of the budget that the owner may spend before it journals a BudgetReserved.
    std::optional<ProgramId> parent;
    std::int64_t startedAtMs = 0; ///< Wall clock, milliseconds since 1970.
};

/// The owner may spend up to this much of the program's budget.
struct BudgetReserved {
    ProgramId program;
    Tokens total; ///< Counted from the program's start, including what was already spent.
};

/// A call that must not be repeated is about to be sent.
struct CallClaimed {
    ProgramId program;
    CallNumber number;
    Digest request;
};

/// A claimed call was abandoned; none of its attempts can have run.
struct ClaimWithdrawn {
    ProgramId program;
    CallNumber number;
};

/// A call got its outcome and became a turn of the history.
struct TurnCommitted {
    ProgramId program;
    CallNumber number;
    Digest request;
    Digest previous; ///< Digest of the history that this turn extends.
    std::string input;
    Outcome outcome;
};

/// A program has ended. The unspent budget of a sub-agent is returned to its parent.
struct ProgramEnded {
    ProgramId program;
    std::string reason;
};

/// An ended program was removed from the table.
struct ProgramRemoved {
    ProgramId program;
};

/// A new owner has taken the shard over. For all programs, what the previous owner had reserved and not yet charged counts
/// as spent.
struct ShardTakenOver {
    FencingNumber fence;
};

/// A journalled change to the programs of a shard. Stored by the index of the alternative: new ones are added at the end.
using Record = std::variant<ProgramStarted, BudgetReserved, CallClaimed, ClaimWithdrawn, TurnCommitted, ProgramEnded, ProgramRemoved, ShardTakenOver>;

nlohmann::json encodeRecord(const Record &record);

/// Returns nothing if the document isn't a record that this version knows.
std::optional<Record> decodeRecord(const nlohmann::json &json);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Outcome, text, error, cost, contextTokens)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ProgramStarted, program, caller, agent, priority, budget, reserved, parent, startedAtMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(BudgetReserved, program, total)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CallClaimed, program, number, request)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimWithdrawn, program, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TurnCommitted, program, number, request, previous, input, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ProgramEnded, program, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ProgramRemoved, program)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ShardTakenOver, fence)

} // namespace flamingo
