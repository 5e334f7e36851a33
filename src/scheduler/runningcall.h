#pragma once

#include "journal/shardjournal.h"
#include "peerlink/messages.h"
#include "peerlink/peerlink.h"
#include "policy/dispatcher.h"

#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// An entry that waits for a call's answer.
struct Subscriber {
    LinkId link = 0;
    RequestNumber request = 0;
    bool wantsDeltas = false;
};

/// One sending of a call that hasn't ended yet.
struct Attempt {
    AttemptId id;
    EndpointId endpoint;
    Instant sentAt;
    std::optional<Instant> firstTokenAt;
    unsigned pieces = 0; ///< Pieces of the answer since the pace was last observed.
    Instant paceSince;
    std::size_t resumedFrom = 0; ///< Bytes of the answer that it was given.
};

/// A call from its admission until its answer has been given.
struct RunningCall {
    /// Journalling: waits for its claim or budget to be in the journal. Committing: has its outcome, which isn't there yet.
    enum class Stage { Journalling, Queued, Sent, Committing };

    CallId id;
    ShardId shard;
    ProgramId program;
    CallNumber number;
    Digest digest; ///< Of the request.
    std::string service; ///< Empty for a model call.
    std::string operation;
    std::string input; ///< As it is kept in the history.
    std::string body; ///< As it is sent.
    Tokens maxTokens;
    Tokens mostCost;
    Tokens serviceCost; ///< Of a plain service's operation.
    bool isRepeatable = true;
    Stage stage = Stage::Journalling;
    RecordIndex awaitedRecord = 0;
    DispatchRequest waiting;
    std::vector<Attempt> attempts;
    unsigned tries = 0;
    bool mayHaveRun = false; ///< A sending ended, or was given up, without it being sure that it had not run.
    std::int64_t piecesDelivered = 0;
    std::string delivered; ///< The part of the answer that has been passed on.
    std::vector<Subscriber> subscribers;
    Outcome outcome;
    std::string answeredBy;
    Instant startedAt;
    Instant finishedAt;
};

} // namespace flamingo
