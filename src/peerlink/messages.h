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

/// Matches a reply to its request; unique on a link.
using RequestNumber = std::uint64_t;

/// Entry to scheduler: start a program on one of the scheduler's shards.
struct StartProgram {
    RequestNumber request = 0;
    CallerId caller;
    AgentId agent;
    std::optional<PriorityClass> priority; ///< The agent's priority if absent.
    std::optional<Tokens> budget; ///< The agent's budget if absent, and limited by it.
    std::optional<ProgramId> parent;
    std::optional<ProgramId> program; ///< An id makes the start idempotent.
};

/// Scheduler to entry: the program was started, now or by an earlier request with the same id.
struct StartProgramReply {
    RequestNumber request = 0;
    ProgramId program;
    bool isDurable = false; ///< The start is in the journal.
};

/// Entry to scheduler: run a call of a program, or return its outcome if it has one.
struct SubmitCall {
    RequestNumber request = 0;
    CallerId caller;
    ProgramId program;
    std::optional<CallNumber> number; ///< The program's next number if absent.
    std::string service; ///< A pool of plain services; empty for a call to the agent's model.
    std::string operation; ///< Operation of the plain service.
    std::string input; ///< JSON: messages for a model, a body for a service.
    Tokens maxTokens; ///< Maximum number of tokens that a model generates.
    bool mustNotRepeat = false; ///< Set by the caller; the configuration may require it too.
    bool wantsDeltas = false;
    std::int64_t deadlineMs = 0; ///< Milliseconds from the time of sending.
};

/// Entry to scheduler: return the stored answer of a call, or the answer of a running call once it is complete.
struct FetchAnswer {
    RequestNumber request = 0;
    CallerId caller;
    ProgramId program;
    CallNumber number;
};

/// Scheduler to entry: a part of a running call's answer.
struct AnswerDelta {
    RequestNumber request = 0;
    std::uint64_t offset = 0; ///< Position of the text in the answer, in bytes.
    std::string text;
};

/// Scheduler to entry: the complete answer.
struct AnswerDone {
    RequestNumber request = 0;
    ProgramId program;
    CallNumber number;
    Outcome outcome;
    Digest digest; ///< Digest of the history up to and including this turn.
    bool isDurable = false; ///< The turn is in the journal.
    std::string endpoint; ///< The endpoint that answered; empty for a stored answer.
};

/// Scheduler to entry or control: the request got an error instead of an answer.
struct Refusal {
    RequestNumber request = 0;
    std::string kind; ///< The name of an ErrorKind.
    std::string detail;
    std::optional<std::int64_t> retryAfterMs;
};

/// Entry to scheduler: end a program.
struct EndProgram {
    RequestNumber request = 0;
    CallerId caller;
    ProgramId program;
    std::string reason;
};

/// Scheduler to entry: the program has ended.
struct EndProgramReply {
    RequestNumber request = 0;
    ProgramId program;
    bool isDurable = false; ///< The end is in the journal.
};

/// Control to scheduler: report what was decided for a program, and why.
struct ExplainProgram {
    RequestNumber request = 0;
    ProgramId program;
};

/// Reply to ExplainProgram.
struct Explanation {
    RequestNumber request = 0;
    nlohmann::json report;
};

/// Daemon to its instance's control: send updates of the membership and the configuration.
struct Subscribe {
    std::string role; ///< "entry" or "scheduler".
};

/// Scheduler to its control: the shards that it owns and the configuration that it uses.
struct SchedulerReport {
    std::vector<OwnedShard> shards;
    std::uint64_t fingerprint = 0; ///< Fingerprint of the configuration in force.
    bool isDraining = false;
};

/// Control to its daemons: the members of the system.
struct MembershipUpdate {
    std::vector<MemberInfo> members;
};

/// Control to its daemons and to other controls: objects of the configuration, to be merged.
struct ConfigurationUpdate {
    std::vector<ConfigObject> objects;
};

/// Control to control: the checksums of the sender's configuration buckets. If they differ from the receiver's, the receiver
/// sends its objects of the buckets that differ and, unless this is an answer, its own checksums.
struct ConfigurationDigest {
    std::vector<std::uint64_t> bucketSums;
    bool isAnswer = false;
};

/// Scheduler to scheduler: the shard is now assigned to the sender's instance; hand it over.
struct RequestHandover {
    ShardId shard;
    InstanceId to;
};

/// Scheduler to scheduler: the sender still owns the shard and hands it over once its running calls have ended.
struct HandoverPending {
    ShardId shard;
};

/// Control to control: report your status.
struct StatusQuery {
    RequestNumber request = 0;
};

/// Reply to StatusQuery.
struct StatusReply {
    RequestNumber request = 0;
    nlohmann::json report;
};

/// Control to control: all members that the sender knows. The receiver answers with those that it knows.
struct MembershipExchange {
    std::vector<MemberInfo> members;
    bool isAnswer = false;
};

/// Scheduler to scheduler: the sender has released the shard, so the receiver can take it over.
struct ShardAvailable {
    ShardId shard;
};

/// Control to its daemons, or to the control of the instance that is to stop: accept no new work.
struct DrainInstance {
};

/// Scheduler to scheduler: an engine holds memory for these programs, whose shards the receiver owns.
struct EngineMemoryReport {
    EndpointId endpoint;
    std::vector<ProgramId> programs;
};

/// Control to its scheduler and to other controls: endpoints that are registered as leaving. The controls pass it on, since
/// only a few of them watch the store.
struct EndpointsLeaving {
    std::vector<EndpointId> endpoints;
    std::uint64_t revision = 0; ///< Revision of the store; a list of a newer revision replaces an older one.
};

/// A message between processes of the system. Sent by the index of the alternative: new ones are added at the end.
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

/// Returns nothing if the bytes are malformed or the message is unknown to this version.
std::optional<PeerMessage> decodeMessage(const std::string &bytes);

/// The message that reports an error.
Refusal makeRefusal(RequestNumber request, const Error &error);

/// The error that a message reports. A kind that is unknown to this version becomes ErrorKind::OutcomeUnknown.
Error errorFromRefusal(const Refusal &refusal);

} // namespace flamingo
