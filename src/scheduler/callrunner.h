#pragma once

#include "scheduler/decisionlog.h"
#include "scheduler/runningcall.h"
#include "scheduler/schedulercontext.h"
#include "scheduler/shardmanager.h"

#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace flamingo
{

/// Runs calls from admission through claim, queue and attempts to the committed turn and the answer.
class CallRunner
{
public:
    CallRunner(SchedulerContext &context, ShardManager &shards, DecisionLog &log);

    void onSubmit(LinkId link, const SubmitCall &request);
    void onFetch(LinkId link, const FetchAnswer &request);
    void onLinkDown(LinkId link);

    void onDelta(AttemptId attempt, const std::string &text);
    void onResult(const EndpointResult &result);

    /// Continues the calls whose awaited records of the shard are now committed.
    void onCommitted(Shard &shard);

    /// Refuses the calls of a shard that is no longer owned with OwnershipLost.
    void onShardLost(ShardId shard);

    /// Starts the attempts that the dispatcher allows now. To be called after each change.
    void dispatchWaiting();

    /// Hedges overdue calls and ends those whose time is over. To be called every few milliseconds.
    void checkOverdue();

    /// Discards the attained service of a program.
    void forgetProgram(const ProgramId &program);

    bool hasRunningCall(const ProgramId &program) const;
    /// Returns whether the shard has calls in any stage.
    bool isBusy(ShardId shard) const;
    std::size_t callCount() const;

private:
    using Calls = std::map<CallId, RunningCall>;

    Result<void> fillServiceCall(RunningCall &call, const SubmitCall &request, const AgentSpec &agent) const;
    void fillModelCall(RunningCall &call, const SubmitCall &request, const AgentSpec &agent, const Program &program) const;
    Result<RunningCall> buildCall(const SubmitCall &request, const Program &program, ShardId shard) const;
    void subscribe(RunningCall &call, LinkId link, RequestNumber request, bool wantsDeltas);
    void startCall(RunningCall call, Shard &shard, LinkId link, const SubmitCall &request);
    void recordIntent(RunningCall &call, Shard &shard);
    void enqueue(RunningCall &call);
    void startAttempt(RunningCall &call, const EndpointId &endpoint, const std::string &reason);
    void hedgeOverdue();
    void expireOverdue();
    void failCall(RunningCall &call, ErrorKind kind, const std::string &detail);

    void onAnswered(RunningCall &call, const Attempt &attempt, const EndpointResult &result);
    void onUnanswered(RunningCall &call, const Attempt &attempt, const EndpointResult &result);
    bool mayRetry(const RunningCall &call, bool isSurelyNotRun) const;
    void retry(RunningCall &call, const EndpointId &failedAt, const std::string &reason);
    bool observeTokenTime(Attempt &attempt);
    void moveIfSlow(RunningCall &call);
    void cancelOtherAttempts(RunningCall &call, AttemptId winner);
    void commitTurn(RunningCall &call, Outcome outcome, const std::string &endpoint);
    void sendAnswer(RunningCall &call, bool isDurable);
    void refuse(RunningCall &call, const Error &error);
    void eraseCall(CallId id);
    void logDecision(const RunningCall &call, std::string decision);
    RunningCall *findCall(CallId id);
    RunningCall *findByAttempt(AttemptId attempt);
    Shard *shardOfCall(const RunningCall &call);

    SchedulerContext &m_context;
    ShardManager &m_shards;
    DecisionLog &m_decisionLog;
    Calls m_calls;
    std::unordered_map<ProgramId, CallId> m_callByProgram;
    std::map<AttemptId, CallId> m_callByAttempt;
    std::unordered_map<ProgramId, Milliseconds> m_attainedServiceByProgram;
    std::uint64_t m_lastCallId = 0;
    std::uint64_t m_lastAttemptId = 0;
    double m_retryBudget = 10;
};

} // namespace flamingo
