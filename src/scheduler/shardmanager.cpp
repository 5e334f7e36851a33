#include "scheduler/shardmanager.h"

#include "core/log.h"
#include "core/visitors.h"
#include "membership/programshard.h"
#include "membership/shardowner.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace flamingo
{

namespace
{
constexpr Milliseconds HomeRetakeDelay{500};
constexpr Milliseconds ForeignRetakeBackoff{5000};
constexpr unsigned MaxBackoffDoublings = 4;
/// The losses of a shard are counted anew after it has been kept this long.
constexpr Milliseconds LossCountLifetime{60000};
constexpr Milliseconds HandoverRequestPeriod{1000};
/// How long an owner that is dead according to gossip has to answer before its shard is taken over.
constexpr Milliseconds OwnerAnswerTimeout{400};
/// The same for a shard whose home is another domain. It is longer, since that whole domain seems to be down but may only be
/// partitioned off.
constexpr Milliseconds ForeignOwnerAnswerTimeout{4000};
/// How long an owner's answer that it still has the shard remains valid.
constexpr Milliseconds HandoverPendingLifetime{3000};
} // namespace

ShardManager::ShardManager(SchedulerContext &context, EventHandler onEvent, BusyCheck isBusy)
    : m_context(context)
    , m_onEvent(std::move(onEvent))
    , m_isBusy(std::move(isBusy))
{
}

Shard *ShardManager::findOwned(ShardId shard)
{
    const auto it = m_shards.find(shard);
    return it != m_shards.end() && it->second->isOwned() ? it->second.get() : nullptr;
}

Result<Shard *> ShardManager::findShardOf(const ProgramId &program)
{
    const auto id = shardOf(program);
    if (!id || id->value() >= m_context.settings.shardCount) {
        return failure(ErrorKind::UnknownProgram, fmt::format("there is no program {}", program.value()));
    }
    Shard *shard = findOwned(*id);
    if (!shard) {
        return failure(ErrorKind::NotOwner, fmt::format("shard {} is not here", id->value()));
    }
    return shard;
}

Result<OwnedProgram> ShardManager::findProgram(const CallerId &caller, const ProgramId &program)
{
    const auto shard = findShardOf(program);
    if (!shard) {
        return tl::make_unexpected(shard.error());
    }
    const auto found = (*shard)->table().findForCaller(caller, program);
    if (!found) {
        return tl::make_unexpected(found.error());
    }
    return OwnedProgram{*shard, *found};
}

std::vector<OwnedShard> ShardManager::ownershipReport() const
{
    std::vector<OwnedShard> owned;
    for (const auto &[id, shard] : m_shards) {
        if (shard->isOwned()) {
            owned.push_back({id, shard->fence()});
        }
    }
    return owned;
}

std::vector<Shard *> ShardManager::ownedShards()
{
    std::vector<Shard *> shards;
    for (const auto &[id, shard] : m_shards) {
        if (shard->isOwned()) {
            shards.push_back(shard.get());
        }
    }
    return shards;
}

bool ShardManager::isEmpty() const
{
    return m_shards.empty();
}

bool ShardManager::isStartupDelayOver()
{
    if (!m_startedAt) {
        m_startedAt = m_context.now;
    }
    return m_context.now - *m_startedAt >= m_context.settings.startupDelay;
}

void ShardManager::maintain()
{
    const bool hasConfiguration = !m_context.configuration.objects().empty();
    if (!isStartupDelayOver() || !hasConfiguration) {
        return;
    }
    for (std::uint32_t n = 0; n < m_context.settings.shardCount; ++n) {
        reviewShard(ShardId(n));
    }
}

void ShardManager::onMembersChanged()
{
    for (Shard *shard : ownedShards()) {
        const auto owner = reachableOwner(shard->id(), m_context.members);
        if (owner && *owner != m_context.settings.instance) {
            shard->checkOwnership();
            processOutput(shard->id());
        }
    }
    maintain();
}

bool ShardManager::isHomeShard(ShardId shard) const
{
    return homeDomain(shard, m_context.settings.domains) == m_context.settings.domain;
}

void ShardManager::reviewShard(ShardId id)
{
    const auto it = m_shards.find(id);
    if (it != m_shards.end()) {
        Shard &shard = *it->second;
        if (shard.isOwned() && m_context.isDraining && !shard.isHandingOver()) {
            shard.startHandover();
        }
        if (shard.isHandingOver()) {
            releaseIfIdle(shard);
        }
        return;
    }
    const auto preferredOwner = assignedOwner(id, m_context.settings.domains, m_context.members);
    Acquisition &acquisition = m_acquisitions[id];
    if (preferredOwner != m_context.settings.instance || m_context.isDraining || m_context.now < acquisition.nextRequestAt) {
        return;
    }
    if (!askForHandover(id, acquisition) && m_context.now >= acquisition.nextTakeoverAt) {
        acquire(id);
    }
}

// The last owner is always asked first, even if it is dead according to gossip: its scheduler may be serving while its
// control daemon is not. A shard is taken over only from an owner that is dead according to gossip and doesn't answer either.
bool ShardManager::askForHandover(ShardId shard, Acquisition &acquisition)
{
    const auto owner = lastKnownOwner(shard, m_context.members);
    if (!owner || *owner == m_context.settings.instance) {
        return false;
    }
    const MemberInfo &member = m_context.members.at(*owner);
    const bool isPending = acquisition.lastPendingAt && m_context.now - *acquisition.lastPendingAt < HandoverPendingLifetime;
    const bool hasAnswerTimedOut =
        acquisition.firstRequestAt && m_context.now - *acquisition.firstRequestAt >= (isHomeShard(shard) ? OwnerAnswerTimeout : ForeignOwnerAnswerTimeout);
    if (!isSchedulerReachable(member) && hasAnswerTimedOut && !isPending) {
        return false;
    }
    m_context.actions.emplace_back(SendToPeer{member.schedulerAddress, RequestHandover{shard, m_context.settings.instance}});
    acquisition.firstRequestAt = acquisition.firstRequestAt.value_or(m_context.now);
    acquisition.nextRequestAt = m_context.now + (isSchedulerReachable(member) ? HandoverRequestPeriod : OwnerAnswerTimeout);
    return true;
}

void ShardManager::acquire(ShardId id)
{
    auto shard = std::make_unique<Shard>(id, m_context.settings.instance, m_context.settings.incarnation, m_context.settings.journal);
    shard->open(m_context.now);
    m_shards.emplace(id, std::move(shard));
    processOutput(id);
}

// Running calls may finish before the shard is released, so that a planned stop interrupts none of them.
void ShardManager::releaseIfIdle(Shard &shard)
{
    if (!m_isBusy(shard.id())) {
        shard.release();
    }
}

void ShardManager::onRequestHandover(LinkId link, const RequestHandover &request)
{
    Shard *shard = findOwned(request.shard);
    if (!shard) {
        m_context.reply(link, ShardAvailable{request.shard});
        return;
    }
    m_context.reply(link, HandoverPending{request.shard});
    m_handoverTargets[request.shard] = request.to;
    shard->startHandover();
    releaseIfIdle(*shard);
    processOutput(request.shard);
}

void ShardManager::onHandoverPending(ShardId shard)
{
    m_acquisitions[shard].lastPendingAt = m_context.now;
}

void ShardManager::onShardFreed(ShardId shard)
{
    m_acquisitions[shard].nextRequestAt = m_context.now;
    m_acquisitions[shard].nextTakeoverAt = m_context.now;
    m_acquisitions[shard].lastPendingAt.reset();
    for (auto &[id, member] : m_context.members) {
        auto &shards = member.shards;
        shards.erase(std::remove_if(shards.begin(), shards.end(), [&](const OwnedShard &owned) { return owned.shard == shard; }), shards.end());
    }
    reviewShard(shard);
}

void ShardManager::onStoreReply(ShardId id, const StoreReply &reply)
{
    const auto it = m_shards.find(id);
    if (it == m_shards.end()) {
        return;
    }
    it->second->onReply(reply, m_context.now);
    processOutput(id);
}

void ShardManager::advance()
{
    std::vector<ShardId> ids;
    for (const auto &[id, shard] : m_shards) {
        ids.push_back(id);
    }
    for (const ShardId id : ids) {
        m_shards.at(id)->advance(m_context.now);
        processOutput(id);
    }
}

void ShardManager::onOpened(const Shard &shard)
{
    logChange("shard-acquired", "shard={} fence={} programs={}", shard.id().value(), shard.fence().value(), shard.table().size());
    Acquisition &acquisition = m_acquisitions[shard.id()];
    acquisition.firstRequestAt.reset();
    acquisition.lastPendingAt.reset();
    acquisition.acquiredAt = m_context.now;
}

// During a network partition both sides may try to acquire a shard. Its home domain retries soon, the other backs off.
void ShardManager::onLost(ShardId shard, const ShardLost &lost)
{
    logChange("shard-lost", "shard={} new_owner={}", shard.value(), lost.newOwner.value());
    Acquisition &acquisition = m_acquisitions[shard];
    if (m_context.now - acquisition.acquiredAt > LossCountLifetime) {
        acquisition.consecutiveLosses = 0;
    }
    const unsigned doublings = std::min(acquisition.consecutiveLosses++, MaxBackoffDoublings);
    acquisition.nextTakeoverAt = m_context.now + (isHomeShard(shard) ? HomeRetakeDelay : ForeignRetakeBackoff * (1U << doublings));
}

void ShardManager::onReleased(ShardId shard)
{
    logChange("shard-released", "shard={}", shard.value());
    auto members = m_context.members;
    members.erase(m_context.settings.instance);
    const auto target = m_handoverTargets.find(shard);
    const auto to = target != m_handoverTargets.end() ? std::optional<InstanceId>(target->second) : assignedOwner(shard, m_context.settings.domains, members);
    if (to && members.count(*to) != 0) {
        m_context.actions.emplace_back(SendToPeer{members.at(*to).schedulerAddress, ShardAvailable{shard}});
    }
}

void ShardManager::processOutput(ShardId id)
{
    const auto it = m_shards.find(id);
    if (it == m_shards.end()) {
        return;
    }
    Shard &shard = *it->second;
    bool isRemoved = false;
    for (const ShardEvent &event : shard.takeEvents()) {
        m_onEvent(shard, event);
        std::visit(Visitors{[&](const ShardOpened &) { onOpened(shard); },
                            [](const ShardCommitted &) {},
                            [&](const ShardLost &lost) {
                                onLost(id, lost);
                                isRemoved = true;
                            },
                            [&](const ShardReleased &) {
                                onReleased(id);
                                isRemoved = true;
                            }},
                   event);
    }
    for (StoreOperation &operation : shard.takeOperations()) {
        m_context.actions.emplace_back(PerformStoreOperation{id, std::move(operation)});
    }
    if (isRemoved) {
        m_handoverTargets.erase(id);
        m_shards.erase(id);
    }
}

} // namespace flamingo
