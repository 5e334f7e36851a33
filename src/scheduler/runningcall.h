#pragma once

#include "journal/shardjournal.h"
#include "peerlink/messages.h"
#include "peerlink/peertransport.h"
#include "policy/dispatcher.h"

#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// A link and request that wait for a call's answer.
struct Subscriber {
    LinkId link = 0;
    RequestNumber request = 0;
    bool wantsDeltas = false;
};

/// One attempt of a call at an endpoint that hasn't ended yet.
struct Attempt {
    AttemptId id;
    EndpointId endpoint;
    Instant sentAt;
    std::optional<Instant> firstTokenAt;
    unsigned deltasInSample = 0; ///< Deltas since the time per token was last observed.
    Instant sampleStartedAt;
    std::size_t resumeOffset = 0; ///< Bytes of the answer that were delivered before this attempt, which it continues.
};

/// A call from its admission until its answer or refusal has been sent.
struct RunningCall {
    /// Journalling: its claim or budget reservation isn't committed yet. Committing: it has an outcome that isn't committed yet.
    enum class Stage { Journalling, Queued, Sent, Committing };

    CallId id;
    ShardId shard;
    ProgramId program;
    CallNumber number;
    Digest digest; ///< Of the request.
    std::string service; ///< Empty for a model call.
    std::string operation;
    std::string input; ///< As stored in the program's history.
    std::string requestBody; ///< As sent to a plain service; empty for a model call.
    Tokens maxTokens;
    Tokens maxCost;
    Tokens serviceCost; ///< Cost of a plain service's operation.
    bool isRepeatable = true;
    Stage stage = Stage::Journalling;
    RecordIndex awaitedRecord = 0;
    DispatchRequest dispatchRequest;
    std::vector<Attempt> attempts;
    unsigned attemptCount = 0;
    bool mayHaveRun = false; ///< An attempt ended or was cancelled without certainty that it had not run.
    std::int64_t deliveredDeltas = 0;
    std::string deliveredText; ///< The part of the answer that has been sent to subscribers.
    std::vector<Subscriber> subscribers;
    Outcome outcome;
    std::string answeringEndpoint;
    Instant startedAt;
    Instant finishedAt;
};

} // namespace flamingo
