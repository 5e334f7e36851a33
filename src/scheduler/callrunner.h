#pragma once

#include "scheduler/decisionlog.h"
#include "scheduler/runningcall.h"
#include "scheduler/schedulercontext.h"
#include "scheduler/shardhost.h"

#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace flamingo
{

/// The calls under way: from admission over claim, queue and sendings to the committed turn and the answer.
class CallRunner
{
public:
    CallRunner(SchedulerContext &context, ShardHost &shards, DecisionLog &log);

    void onSubmit(LinkId link, const SubmitCall &request);
    void onFetch(LinkId link, const FetchAnswer &request);
    void onLinkDown(LinkId link);

    void onDelta(AttemptId attempt, const std::string &text);
    void onResult(const EndpointResult &result);

    /// More of the shard's records are in the journal.
    void onCommitted(Shard &shard);

    /// The shard is no longer owned: its calls are answered with what is then known.
    void onShardLost(ShardId shard);

    /// Sends what the policy lets go. To be called after each change.
    void dispatchWaiting();

    /// Hedges and ends what is overdue. To be called every few milliseconds.
    void checkOverdue();

    /// What a program has had of service is forgotten.
    void forgetProgram(const ProgramId &program);

    bool isRunning(const ProgramId &program) const;
    bool isBusy(ShardId shard) const;
    std::size_t size() const;

private:
    using Calls = std::map<CallId, RunningCall>;

    Result<void> describeService(RunningCall &call, const SubmitCall &request, const AgentSpec &agent) const;
    void describeModel(RunningCall &call, const SubmitCall &request, const AgentSpec &agent, const Program &program) const;
    Result<RunningCall> describe(const SubmitCall &request, const Program &program, ShardId shard) const;
    void subscribe(RunningCall &call, LinkId link, RequestNumber request, bool wantsDeltas);
    void begin(RunningCall call, Shard &shard, LinkId link, const SubmitCall &request);
    void recordIntent(RunningCall &call, Shard &shard);
    void enqueue(RunningCall &call);
    void startAttempt(RunningCall &call, const EndpointId &endpoint, const std::string &reason);
    void hedgeOverdue();
    void expireWaiting();
    void giveUp(RunningCall &call, ErrorKind kind, const std::string &detail);

    void onAnswered(RunningCall &call, const Attempt &attempt, const EndpointResult &result);
    void onUnanswered(RunningCall &call, const Attempt &attempt, const EndpointResult &result);
    bool mayRetry(const RunningCall &call, bool isSurelyNotRun) const;
    void retry(RunningCall &call, const EndpointId &failedAt, const std::string &reason);
    bool observePace(Attempt &attempt);
    void moveIfSlow(RunningCall &call);
    void cancelOthers(RunningCall &call, AttemptId winner);
    void commit(RunningCall &call, Outcome outcome, const std::string &endpoint);
    void answer(RunningCall &call, bool isDurable);
    void refuse(RunningCall &call, const Error &error);
    void erase(CallId id);
    void note(const RunningCall &call, std::string decision);
    RunningCall *find(CallId id);
    RunningCall *findByAttempt(AttemptId attempt);
    Shard *shardOfCall(const RunningCall &call);

    SchedulerContext &m_context;
    ShardHost &m_shards;
    DecisionLog &m_log;
    Calls m_calls;
    std::unordered_map<ProgramId, CallId> m_callByProgram;
    std::map<AttemptId, CallId> m_callByAttempt;
    std::unordered_map<ProgramId, Milliseconds> m_serviceByProgram;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_lastAttempt = 0;
    double m_retryTokens = 10;
};

} // namespace flamingo
