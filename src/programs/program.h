#pragma once

#include "programs/records.h"

#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// One call of a program with its outcome.
struct Turn {
    CallNumber number;
    Digest request;
    std::string input;
    Outcome outcome;
    Digest digest; ///< Of the history up to and including this turn.
};

/// A program as the records of its shard's journal tell it.
struct Program {
    ProgramStarted start;
    Tokens reserved; ///< What the owner may spend, by the journal; includes what has been spent.
    Tokens spent;
    std::vector<Turn> turns;
    std::optional<CallClaimed> claim; ///< Claimed and without an outcome yet.
    std::optional<std::string> endReason;
    Digest historyDigest; ///< Of the newest turn, or of the program's id before the first.

    /// The number that the next call must have.
    CallNumber nextCallNumber() const;

    /// Tokens of history that the next call's prompt begins with.
    Tokens contextTokens() const;
};

/// What a history digest starts from, so that no two programs share one.
Digest initialHistoryDigest(const ProgramId &program);

/// The digest of a history that ends in this turn.
Digest extendHistoryDigest(const Digest &previous, const Digest &request, const Outcome &outcome);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Turn, number, request, input, outcome, digest)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Program, start, reserved, spent, turns, claim, endReason, historyDigest)

} // namespace flamingo
