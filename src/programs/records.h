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

void to_json(nlohmann::json &json, const PriorityClass &priority);
void from_json(const nlohmann::json &json, PriorityClass &priority);

/// What a call came to, as it is kept in the history.
struct Outcome {
    std::string text; ///< The answer; empty when there is an error.
    std::optional<std::string> error; ///< The name of an ErrorKind.
    Tokens cost; ///< Charged to the program's budget.
    Tokens contextTokens; ///< Length of the history after this turn, as the engine counted it.
};

/// A program has begun.
struct ProgramStarted {
    ProgramId program;
    CallerId caller;
    AgentId agent;
    PriorityClass priority = PriorityClass::Normal;
    Tokens budget; ///< For a sub-agent it is taken from the parent's.
    Tokens reserved; ///< What the owner may spend before it journals a BudgetReserved.
    std::optional<ProgramId> parent;
    std::int64_t startedAtMs = 0; ///< Wall clock, milliseconds since 1970.
};

/// The owner may spend up to this much of the program's budget.
struct BudgetReserved {
    ProgramId program;
    Tokens total; ///< Counted from the program's start, what has been spent included.
};

/// A call that must not be repeated is about to be sent.
struct CallClaimed {
    ProgramId program;
    CallNumber number;
    Digest request;
};

/// A claimed call was given up before it was sent.
struct ClaimWithdrawn {
    ProgramId program;
    CallNumber number;
};

/// A call has its outcome.
struct TurnCommitted {
    ProgramId program;
    CallNumber number;
    Digest request;
    Digest previous; ///< The history that this turn stands on.
    std::string input;
    Outcome outcome;
};

/// A program is over; what is left of a sub-agent's budget goes back to its parent.
struct ProgramEnded {
    ProgramId program;
    std::string reason;
};

/// An ended program's record is dropped.
struct ProgramRemoved {
    ProgramId program;
};

/// A new owner has taken over. What the last one had reserved and not settled counts as spent, for all programs.
struct ShardTakenOver {
    FencingNumber fence;
};

using Record = std::variant<ProgramStarted, BudgetReserved, CallClaimed, ClaimWithdrawn, TurnCommitted, ProgramEnded, ProgramRemoved, ShardTakenOver>;

nlohmann::json encodeRecord(const Record &record);

/// The record in a document, or nothing if it is none that this version knows.
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
