#pragma once

#include "scheduler/callrunner.h"
#include "scheduler/decisionlog.h"
#include "scheduler/schedulercontext.h"
#include "scheduler/shardmanager.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace flamingo
{

/// Manages programs from start to end: start and end requests, idle and time limits, and the release of the engine memory
/// that they leave behind.
class ProgramManager
{
public:
    ProgramManager(SchedulerContext &context, ShardManager &shards, CallRunner &calls, DecisionLog &log);

    void onStart(LinkId link, const StartProgram &request);
    void onEnd(LinkId link, const EndProgram &request);
    void onExplain(LinkId link, const ExplainProgram &request);

    /// Releases the memory that an engine holds for programs that are unknown or have ended.
    void onMemoryHeld(const EngineMemoryReport &held);

    /// Passes an engine's list of the programs that it holds memory for to the owners of those programs.
    void onMemoryListed(const EndpointId &endpoint, const std::vector<ProgramId> &programs);

    void onShardOpened(Shard &shard);
    void onCommitted(Shard &shard);
    void onShardLost(ShardId shard);
    void onLinkDown(LinkId link);

    /// Ends programs that exceed their idle or time limit and forgets ended ones after the retention time. To be called about
    /// twice a second.
    void checkPrograms();

    /// Asks each engine that this instance sweeps for which programs it holds memory.
    void sweepMemory();

private:
    /// A start or end request that is answered once its record is committed.
    struct PendingReply {
        LinkId link = 0;
        RequestNumber request = 0;
        ProgramId program;
        ShardId shard;
        bool isStart = true;
        RecordIndex awaitedRecord = 0;
        Instant requestedAt;
    };

    Result<RecordIndex> startProgram(Shard &shard, const StartProgram &request);
    void endProgram(Shard &shard, const ProgramId &program, const std::string &reason);
    void sendReply(const PendingReply &reply, bool isDurable);
    void checkProgram(Shard &shard, const ProgramId &id);
    void releaseCachedPrefix(Shard &shard, const ProgramId &program);
    bool isSweeper(const EndpointId &endpoint) const;

    SchedulerContext &m_context;
    ShardManager &m_shards;
    CallRunner &m_calls;
    DecisionLog &m_decisionLog;
    std::vector<PendingReply> m_pendingReplies;
    std::unordered_map<ProgramId, Instant> m_lastActiveAt;
    std::unordered_map<ProgramId, Instant> m_endedAt;
};

} // namespace flamingo
