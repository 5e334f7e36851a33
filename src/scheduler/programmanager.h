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

/// Programs from start to end: starting, ending, idle and time limits, and the release of the engine memory that they
/// leave behind.
class ProgramManager
{
public:
    ProgramManager(SchedulerContext &context, ShardManager &shards, CallRunner &calls, DecisionLog &log);

    void onStart(LinkId link, const StartProgram &request);
    void onEnd(LinkId link, const EndProgram &request);
    void onExplain(LinkId link, const ExplainProgram &request);

    /// Releases what an engine holds for programs that are gone.
    void onMemoryHeld(const MemoryHeld &held);

    /// An engine has told what it holds: passes it to the owners of the programs.
    void onMemoryListed(const EndpointId &endpoint, const std::vector<ProgramId> &programs);

    void onShardOpened(Shard &shard);
    void onCommitted(Shard &shard);
    void onShardLost(ShardId shard);
    void onLinkDown(LinkId link);

    /// Ends programs that are idle or out of time and forgets ended ones. To be called about once a second.
    void checkPrograms();

    /// Asks the engines that this instance sweeps what they hold.
    void sweepMemory();

private:
    /// A start or an end that is answered once it is in the journal.
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
