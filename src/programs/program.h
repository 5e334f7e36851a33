#pragma once

#include "programs/records.h"

#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// A completed call of a program.
struct Turn {
    CallNumber number;
    Digest request;
    std::string input;
    Outcome outcome;
    Digest digest; ///< Digest of the history up to and including this turn.
};

/// State of a program, as built from the records of its shard's journal.
struct Program {
    ProgramStarted start;
    Tokens reserved; ///< Total that the owner may spend without journalling a further reservation; includes \c spent.
    Tokens spent;
    std::vector<Turn> turns;
    std::optional<CallClaimed> claim; ///< The call that is claimed and has no outcome yet.
    std::optional<std::string> endReason;
    Digest historyDigest; ///< Digest of the newest turn; before the first turn, initialHistoryDigest().

    CallNumber nextCallNumber() const;

    /// Length of the history that the next call's prompt begins with, in tokens.
    Tokens contextTokens() const;
};

/// Digest of a history without turns. It depends on the program's id, so that no two programs share a history digest.
Digest initialHistoryDigest(const ProgramId &program);

/// Digest of the history \p previous extended by one turn.
Digest extendHistoryDigest(const Digest &previous, const Digest &request, const Outcome &outcome);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Turn, number, request, input, outcome, digest)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Program, start, reserved, spent, turns, claim, endReason, historyDigest)

} // namespace flamingo
