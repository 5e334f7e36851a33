#pragma once

#include "scheduler/schedulercontext.h"
#include "scheduler/shard.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace flamingo
{

/// A program and its shard, which this instance owns.
struct OwnedProgram {
    Shard *shard = nullptr;
    const Program *program = nullptr;
};

/// Manages the shards of this instance. Decides from the known members which shards to acquire, to request from their owner
/// and to release. Whether an acquisition succeeds is decided by the shard's journal.
class ShardManager
{
public:
    /// Called for each event of a shard, before a lost or released shard is destroyed.
    using EventHandler = std::function<void(Shard &shard, const ShardEvent &event)>;

    /// Returns whether a shard that is being handed over still has calls.
    using BusyCheck = std::function<bool(ShardId shard)>;

    ShardManager(SchedulerContext &context, EventHandler onEvent, BusyCheck isBusy);

    /// The shard if this instance owns it, otherwise null. A shard that is being handed over is owned until it is released.
    Shard *findOwned(ShardId shard);

    /// The owned shard of a program. Fails with NotOwner if another instance must be asked, with UnknownProgram if the id names
    /// no shard.
    Result<Shard *> findShardOf(const ProgramId &program);

    /// A caller's program on an owned shard. Another caller's program is reported as unknown.
    Result<OwnedProgram> findProgram(const CallerId &caller, const ProgramId &program);

    void onStoreReply(ShardId shard, const StoreReply &reply);
    void onRequestHandover(LinkId link, const RequestHandover &request);
    void onHandoverPending(ShardId shard);
    void onShardFreed(ShardId shard);

    /// Handles changed members. Owned shards that another member claims too are checked in the store.
    void onMembersChanged();

    /// Acquires, requests and releases shards as the members now require. To be called a few times a second.
    void maintain();

    /// Continues the work of the journals at the current time.
    void advance();

    /// The owned shards with their fencing numbers.
    std::vector<OwnedShard> ownershipReport() const;

    /// The owned shards, for periodic work.
    std::vector<Shard *> ownedShards();

    bool isEmpty() const;

private:
    /// The progress of acquiring a shard.
    struct Acquisition {
        unsigned consecutiveLosses = 0; ///< How often in a row the shard was lost to another instance.
        Instant acquiredAt{};
        Instant nextRequestAt{}; ///< Before this the last owner isn't asked and the shard isn't acquired.
        Instant nextTakeoverAt{}; ///< Before this the shard isn't acquired, since it was lost.
        std::optional<Instant> firstRequestAt; ///< First request to the last owner.
        std::optional<Instant> lastPendingAt; ///< Last answer of the last owner that it still has the shard.
    };

    void reviewShard(ShardId shard);
    void acquire(ShardId shard);
    void releaseIfIdle(Shard &shard);
    void processOutput(ShardId shard);
    void onOpened(const Shard &shard);
    void onLost(ShardId shard, const ShardLost &lost);
    void onReleased(ShardId shard);
    /// Returns whether the startup delay, which begins with the first call, is over.
    bool isStartupDelayOver();
    bool isHomeShard(ShardId shard) const;
    /// Asks the last owner for the shard, unless there is no other or it is dead and hasn't answered in time. Returns whether
    /// the shard must not be acquired yet.
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
