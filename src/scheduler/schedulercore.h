#pragma once

#include "scheduler/callrunner.h"
#include "scheduler/decisionlog.h"
#include "scheduler/programmanager.h"
#include "scheduler/schedulercontext.h"
#include "scheduler/shardmanager.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace flamingo
{

/// Makes all decisions of a scheduler process. It does no I/O, reads no clock and starts no thread: messages and the time go
/// in, actions come out, so that it runs the same in the daemon, in tests and in measurements.
class SchedulerCore
{
public:
    SchedulerCore(SchedulerSettings settings, Metrics &metrics);

    /// Sets the time for the inputs that follow. nowMs is the wall clock in milliseconds since 1970.
    void setTime(Instant now, std::int64_t nowMs);

    void onMessage(LinkId link, const PeerMessage &message);
    void onLinkDown(LinkId link);
    void onStoreReply(ShardId shard, const StoreReply &reply);
    void onAttemptDelta(AttemptId attempt, const std::string &text);
    void onAttemptResult(const EndpointResult &result);
    void onMemoryListed(const EndpointId &endpoint, const std::vector<ProgramId> &programs);

    /// Does the periodic work that is due. To be called every few milliseconds.
    void onTimer();

    /// Begins a planned stop: each shard is released when its calls have ended.
    void drain();

    /// Returns whether a planned stop has ended: no call is running and no shard is held.
    bool isDrained() const;

    std::vector<Action> takeActions();

    SchedulerReport report() const;

    const SchedulerContext &context() const;

private:
    void updateEndpoints();
    void onShardEvent(Shard &shard, const ShardEvent &event);
    void dispatchAndAdvance();
    /// Returns whether the time has come; if so, sets the next one.
    bool advanceIfDue(Instant &next, Milliseconds period) const;

    SchedulerContext m_context;
    DecisionLog m_decisionLog;
    ShardManager m_shards;
    CallRunner m_calls;
    ProgramManager m_programs;
    std::vector<EndpointId> m_leavingEndpoints;
    Instant m_nextMaintenance{};
    Instant m_nextProgramCheck{};
    Instant m_nextSweep{};
};

} // namespace flamingo
