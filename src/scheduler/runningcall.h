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
    unsigned deltasInSample = 0; ///< Pieces of the answer since the pace was last observed.
    Instant sampleStartedAt;
    std::size_t resumeOffset = 0; ///< Bytes of the answer that it was given.
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
    std::string requestBody; ///< As it is sent.
    Tokens maxTokens;
    Tokens maxCost;
    Tokens serviceCost; ///< Of a plain service's operation.
    bool isRepeatable = true;
    Stage stage = Stage::Journalling;
    RecordIndex awaitedRecord = 0;
    DispatchRequest dispatchRequest;
    std::vector<Attempt> attempts;
    unsigned attemptCount = 0;
    bool mayHaveRun = false; ///< A sending ended, or was given up, without it being sure that it had not run.
    std::int64_t deliveredDeltas = 0;
    std::string deliveredText; ///< The part of the answer that has been passed on.
    std::vector<Subscriber> subscribers;
    Outcome outcome;
    std::string answeringEndpoint;
    Instant startedAt;
    Instant finishedAt;
};

} // namespace flamingo
