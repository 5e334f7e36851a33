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

/// All decisions of a scheduler process. It does no I/O, reads no clock and starts no thread: messages and time go in,
/// actions come out, so that it runs the same in the daemon, in a test and in a measurement.
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

    /// To be called every few milliseconds; does the periodic work when it is due.
    void onTimer();

    /// Begins a planned stop: shards are given up as their calls end.
    void drain();

    /// Nothing is under way and no shard is owned.
    bool isDrained() const;

    std::vector<Action> takeActions();

    SchedulerReport report() const;

    const SchedulerContext &context() const;

private:
    void updateEndpoints();
    void onShardEvent(Shard &shard, const ShardEvent &event);
    void dispatchAndAdvance();
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
