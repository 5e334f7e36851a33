#pragma once

#include "configuration/configobject.h"
#include "core/error.h"
#include "core/ids.h"
#include "membership/memberinfo.h"
#include "programs/records.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace flamingo
{

/// Ties an answer to its request; unique on its link.
using RequestNumber = std::uint64_t;

/// Entry to scheduler: start a program on one of the scheduler's shards.
struct StartProgram {
    RequestNumber request = 0;
    CallerId caller;
    AgentId agent;
    std::optional<PriorityClass> priority; ///< The agent's when absent.
    std::optional<Tokens> budget; ///< The agent's when absent; never more than that.
    std::optional<ProgramId> parent;
    std::optional<ProgramId> program; ///< A given id makes the start idempotent.
};

/// Scheduler to entry: the program is there.
struct StartProgramReply {
    RequestNumber request = 0;
    ProgramId program;
    bool isDurable = false;
};

/// Entry to scheduler: call n of a program.
struct SubmitCall {
    RequestNumber request = 0;
    CallerId caller;
    ProgramId program;
    std::optional<CallNumber> number; ///< The next one when absent.
    std::string service; ///< A pool of plain services; empty for a call to the agent's model.
    std::string operation; ///< Of the plain service.
    std::string input; ///< JSON: messages for a model, a body for a service.
    Tokens maxTokens; ///< The most that a model may generate.
    bool mustNotRepeat = false; ///< The caller's wish on top of the configuration.
    bool wantsDeltas = false;
    std::int64_t deadlineMs = 0; ///< From now.
};

/// Entry to scheduler: the stored answer of a call, or the running one's when it is there.
struct FetchAnswer {
    RequestNumber request = 0;
    CallerId caller;
    ProgramId program;
    CallNumber number;
};

/// Scheduler to entry: a piece of an answer under way.
struct AnswerDelta {
    RequestNumber request = 0;
    std::uint64_t offset = 0; ///< Bytes of the answer before this piece.
    std::string text;
};

/// Scheduler to entry: the whole answer.
struct AnswerDone {
    RequestNumber request = 0;
    ProgramId program;
    CallNumber number;
    Outcome outcome;
    Digest digest; ///< Of the history up to this turn.
    bool isDurable = false; ///< The turn is in the journal.
    std::string endpoint; ///< Who answered; empty for a stored answer.
};

/// Scheduler to entry: no answer.
struct Refusal {
    RequestNumber request = 0;
    std::string kind; ///< The name of an ErrorKind.
    std::string detail;
    std::optional<std::int64_t> retryAfterMs;
};

/// Entry to scheduler: the program is over.
struct EndProgram {
    RequestNumber request = 0;
    CallerId caller;
    ProgramId program;
    std::string reason;
};

struct EndProgramReply {
    RequestNumber request = 0;
    ProgramId program;
    bool isDurable = false;
};

/// Control or entry to scheduler: what was decided for a program, and why.
struct ExplainProgram {
    RequestNumber request = 0;
    ProgramId program;
};

struct Explanation {
    RequestNumber request = 0;
    nlohmann::json report;
};

/// A daemon to its instance's control: keep me told.
struct Subscribe {
    std::string role; ///< "entry" or "scheduler".
};

/// Scheduler to its control: what it owns and what is in force there.
struct SchedulerReport {
    std::vector<OwnedShard> shards;
    std::uint64_t fingerprint = 0; ///< Of the configuration in force.
    bool isDraining = false;
};

/// Control to its daemons: who is there.
struct MembershipUpdate {
    std::vector<MemberInfo> members;
};

/// Control to its daemons and to other controls: objects of the configuration.
struct ConfigurationUpdate {
    std::vector<ConfigObject> objects;
};

/// Control to control: the sums of my configuration's buckets; send me what is newer.
struct ConfigurationDigest {
    std::vector<std::uint64_t> bucketSums;
    bool isAnswer = false;
};

/// Scheduler to scheduler: the shard belongs here now, please hand it over.
struct RequestHandover {
    ShardId shard;
    InstanceId to;
};

/// Scheduler to scheduler: the shard is still here and will be handed over once its calls have ended.
struct HandoverPending {
    ShardId shard;
};

/// Control to control: how are things with you?
struct StatusQuery {
    RequestNumber request = 0;
};

struct StatusReply {
    RequestNumber request = 0;
    nlohmann::json report;
};

/// Control to control: all members that I know; tell me yours.
struct MembershipExchange {
    std::vector<MemberInfo> members;
    bool isAnswer = false;
};

/// Scheduler to scheduler: the shard has been given up, take it.
struct ShardAvailable {
    ShardId shard;
};

/// Control to its daemons: stop taking new work.
struct DrainInstance {
};

/// Scheduler to scheduler: an engine holds memory for these programs, whose shards are the receiver's.
struct EngineMemoryReport {
    EndpointId endpoint;
    std::vector<ProgramId> programs;
};

/// Control to its scheduler, and to other controls, of which only a few watch: endpoints that are registered as leaving.
struct EndpointsLeaving {
    std::vector<EndpointId> endpoints;
    std::uint64_t revision = 0; ///< Of the store, as of which this holds; a newer one replaces an older one.
};

using PeerMessage = std::variant<StartProgram,
                                 StartProgramReply,
                                 SubmitCall,
                                 FetchAnswer,
                                 AnswerDelta,
                                 AnswerDone,
                                 Refusal,
                                 EndProgram,
                                 EndProgramReply,
                                 ExplainProgram,
                                 Explanation,
                                 Subscribe,
                                 SchedulerReport,
                                 MembershipUpdate,
                                 ConfigurationUpdate,
                                 ConfigurationDigest,
                                 RequestHandover,
                                 ShardAvailable,
                                 DrainInstance,
                                 EngineMemoryReport,
                                 EndpointsLeaving,
                                 HandoverPending,
                                 StatusQuery,
                                 StatusReply,
                                 MembershipExchange>;

std::string encodeMessage(const PeerMessage &message);

/// The message in CBOR bytes, or nothing if it is malformed or unknown to this version.
std::optional<PeerMessage> decodeMessage(const std::string &bytes);

/// The refusal that an error becomes on the wire.
Refusal makeRefusal(RequestNumber request, const Error &error);

/// The error that a refusal stands for.
Error errorFromRefusal(const Refusal &refusal);

} // namespace flamingo
