#pragma once

#include "scheduler/schedulercontext.h"
#include "scheduler/shard.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace flamingo
{

/// A program and the shard that it is on, both owned by this instance.
struct OwnedProgram {
    Shard *shard = nullptr;
    const Program *program = nullptr;
};

/// The shards of this instance. Decides which to take, to ask for and to give up, from the members that are known;
/// whether a taking succeeds is decided by the shard's journal.
class ShardManager
{
public:
    /// Told of what happens to a shard, before a lost or released one is destroyed.
    using EventHandler = std::function<void(Shard &shard, const ShardEvent &event)>;

    /// Asked whether a shard that is being handed over has calls under way.
    using BusyCheck = std::function<bool(ShardId shard)>;

    ShardManager(SchedulerContext &context, EventHandler onEvent, BusyCheck isBusy);

    /// The shard if this instance owns it, handed over ones included until they are released.
    Shard *findOwned(ShardId shard);

    /// The owned shard of a program; NotOwner when another instance must be asked.
    Result<Shard *> findShardOf(const ProgramId &program);

    /// A caller's program on an owned shard. Another caller's program is unknown.
    Result<OwnedProgram> findProgram(const CallerId &caller, const ProgramId &program);

    void onStoreReply(ShardId shard, const StoreReply &reply);
    void onRequestHandover(LinkId link, const RequestHandover &request);
    void onHandoverPending(ShardId shard);
    void onShardFreed(ShardId shard);

    /// The members have changed: owners that others contradict look into the store.
    void onMembersChanged();

    /// Takes, asks for and gives up shards as the members now require. To be called a few times a second.
    void maintain();

    /// Lets the journals go on.
    void advance();

    std::vector<OwnedShard> ownershipReport() const;

    /// The owned shards, for periodic work.
    std::vector<Shard *> ownedShards();

    bool isEmpty() const;

private:
    /// How the taking of a shard that isn't owned is going.
    struct Acquisition {
        unsigned consecutiveLosses = 0; ///< Takeovers from this instance in a row.
        Instant acquiredAt{};
        Instant nextRequestAt{}; ///< For the next question to the last owner.
        Instant nextTakeoverAt{}; ///< For the next takeover, after a lost one.
        std::optional<Instant> firstRequestAt; ///< When the last owner was first asked for the shard.
        std::optional<Instant> lastPendingAt; ///< When the last owner last said that it still has it.
    };

    void reviewShard(ShardId shard);
    void acquire(ShardId shard);
    void releaseIfIdle(Shard &shard);
    void processOutput(ShardId shard);
    void onOpened(const Shard &shard);
    void onLost(ShardId shard, const ShardLost &lost);
    void onReleased(ShardId shard);
    bool isStartupDelayOver();
    bool isHomeShard(ShardId shard) const;
    bool askForHandover(ShardId shard, Acquisition &acquisition);

    SchedulerContext &m_context;
    EventHandler m_onEvent;
    BusyCheck m_isBusy;
    std::map<ShardId, std::unique_ptr<Shard>> m_shards;
    std::map<ShardId, Acquisition> m_acquisitions;
    std::map<ShardId, InstanceId> m_handoverTargets;
    std::optional<Instant> m_startedAt;
};

} // namespace flamingo
