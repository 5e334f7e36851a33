#include "scheduler/shardhost.h"

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
constexpr Milliseconds HomeLossPause{500};
constexpr Milliseconds ForeignLossBackoff{5000};
constexpr unsigned MaxLossDoublings = 4;
/// A shard that has been kept for so long counts as won.
constexpr Milliseconds LossMemory{60000};
constexpr Milliseconds HandoverRequestPeriod{1000};
/// How long an owner that gossip holds for dead has to answer before it is taken over from.
constexpr Milliseconds AnswerTime{400};
/// The same for a shard whose home is another domain. That whole domain seems to be gone, and may only be cut off.
constexpr Milliseconds ForeignAnswerTime{4000};
/// How long an owner's answer that it still has the shard holds.
constexpr Milliseconds PendingLife{3000};
} // namespace

ShardHost::ShardHost(SchedulerContext &context, EventHandler onEvent, BusyCheck isBusy)
    : m_context(context)
    , m_onEvent(std::move(onEvent))
    , m_isBusy(std::move(isBusy))
{
}

Shard *ShardHost::find(ShardId shard)
{
    const auto it = m_shards.find(shard);
    return it != m_shards.end() && it->second->isOwned() ? it->second.get() : nullptr;
}

Result<Shard *> ShardHost::ownerOf(const ProgramId &program)
{
    const auto id = shardOf(program);
    if (!id || id->value() >= m_context.settings.shardCount) {
        return failure(ErrorKind::UnknownProgram, fmt::format("there is no program {}", program.value()));
    }
    Shard *shard = find(*id);
    if (!shard) {
        return failure(ErrorKind::NotOwner, fmt::format("shard {} is not here", id->value()));
    }
    return shard;
}

Result<OwnedProgram> ShardHost::findFor(const CallerId &caller, const ProgramId &program)
{
    const auto shard = ownerOf(program);
    if (!shard) {
        return tl::make_unexpected(shard.error());
    }
    const auto found = (*shard)->table().findForCaller(caller, program);
    if (!found) {
        return tl::make_unexpected(found.error());
    }
    return OwnedProgram{*shard, *found};
}

std::vector<OwnedShard> ShardHost::owned() const
{
    std::vector<OwnedShard> owned;
    for (const auto &[id, shard] : m_shards) {
        if (shard->isOwned()) {
            owned.push_back({id, shard->fence()});
        }
    }
    return owned;
}

std::vector<Shard *> ShardHost::ownedShards()
{
    std::vector<Shard *> shards;
    for (const auto &[id, shard] : m_shards) {
        if (shard->isOwned()) {
            shards.push_back(shard.get());
        }
    }
    return shards;
}

bool ShardHost::isEmpty() const
{
    return m_shards.empty();
}

bool ShardHost::isSettled()
{
    if (!m_startedAt) {
        m_startedAt = m_context.now;
    }
    return m_context.now - *m_startedAt >= m_context.settings.settleTime;
}

void ShardHost::maintain()
{
    const bool hasConfiguration = !m_context.configuration.objects().empty();
    if (!isSettled() || !hasConfiguration) {
        return;
    }
    for (std::uint32_t n = 0; n < m_context.settings.shardCount; ++n) {
        consider(ShardId(n));
    }
}

void ShardHost::onMembersChanged()
{
    for (Shard *shard : ownedShards()) {
        const auto owner = reachableOwner(shard->id(), m_context.members);
        if (owner && *owner != m_context.settings.instance) {
            shard->checkOwnership();
            pump(shard->id());
        }
    }
    maintain();
}

bool ShardHost::isHome(ShardId shard) const
{
    return homeDomain(shard, m_context.settings.domains) == m_context.settings.domain;
}

void ShardHost::consider(ShardId id)
{
    const auto it = m_shards.find(id);
    if (it != m_shards.end()) {
        Shard &shard = *it->second;
        if (shard.isOwned() && m_context.isDraining && !shard.isHandingOver()) {
            shard.startHandover();
        }
        if (shard.isHandingOver()) {
            giveUp(shard);
        }
        return;
    }
    const auto placed = assignedOwner(id, m_context.settings.domains, m_context.members);
    Attempt &attempt = m_attempts[id];
    if (placed != m_context.settings.instance || m_context.isDraining || m_context.now < attempt.notBefore) {
        return;
    }
    if (!mustWaitForOwner(id, attempt) && m_context.now >= attempt.takeNotBefore) {
        take(id);
    }
}

// The last owner is always asked first, also when gossip holds it for dead: its scheduler may well be serving while its
// control daemon is not. Only an owner that is dead by gossip and doesn't answer either is taken over from.
bool ShardHost::mustWaitForOwner(ShardId shard, Attempt &attempt)
{
    const auto owner = lastKnownOwner(shard, m_context.members);
    if (!owner || *owner == m_context.settings.instance) {
        return false;
    }
    const MemberInfo &fact = m_context.members.at(*owner);
    const bool isPending = attempt.pendingAt && m_context.now - *attempt.pendingAt < PendingLife;
    const bool hasAnswerTimePassed = attempt.askedAt && m_context.now - *attempt.askedAt >= (isHome(shard) ? AnswerTime : ForeignAnswerTime);
    if (!isSchedulerReachable(fact) && hasAnswerTimePassed && !isPending) {
        return false;
    }
    m_context.actions.emplace_back(SendToPeer{fact.schedulerAddress, RequestHandover{shard, m_context.settings.instance}});
    attempt.askedAt = attempt.askedAt.value_or(m_context.now);
    attempt.notBefore = m_context.now + (isSchedulerReachable(fact) ? HandoverRequestPeriod : AnswerTime);
    return true;
}

void ShardHost::take(ShardId id)
{
    auto shard = std::make_unique<Shard>(id, m_context.settings.instance, m_context.settings.incarnation, m_context.settings.journal);
    shard->open(m_context.now);
    m_shards.emplace(id, std::move(shard));
    pump(id);
}

// Calls under way are let finish before the shard is given up, so that a planned stop cuts off nothing.
void ShardHost::giveUp(Shard &shard)
{
    if (!m_isBusy(shard.id())) {
        shard.release();
    }
}

void ShardHost::onRequestHandover(LinkId link, const RequestHandover &request)
{
    Shard *shard = find(request.shard);
    if (!shard) {
        m_context.reply(link, ShardAvailable{request.shard});
        return;
    }
    m_context.reply(link, HandoverPending{request.shard});
    m_handoverTo[request.shard] = request.to;
    shard->startHandover();
    giveUp(*shard);
    pump(request.shard);
}

void ShardHost::onHandoverPending(ShardId shard)
{
    m_attempts[shard].pendingAt = m_context.now;
}

void ShardHost::onShardFreed(ShardId shard)
{
    m_attempts[shard].notBefore = m_context.now;
    m_attempts[shard].takeNotBefore = m_context.now;
    m_attempts[shard].pendingAt.reset();
    for (auto &[id, fact] : m_context.members) {
        auto &shards = fact.shards;
        shards.erase(std::remove_if(shards.begin(), shards.end(), [&](const OwnedShard &owned) { return owned.shard == shard; }), shards.end());
    }
    consider(shard);
}

void ShardHost::onStoreReply(ShardId id, const StoreReply &reply)
{
    const auto it = m_shards.find(id);
    if (it == m_shards.end()) {
        return;
    }
    it->second->onReply(reply, m_context.now);
    pump(id);
}

void ShardHost::advance()
{
    std::vector<ShardId> ids;
    for (const auto &[id, shard] : m_shards) {
        ids.push_back(id);
    }
    for (const ShardId id : ids) {
        m_shards.at(id)->advance(m_context.now);
        pump(id);
    }
}

void ShardHost::onOpened(const Shard &shard)
{
    logChange("shard-taken", "shard={} fence={} programs={}", shard.id().value(), shard.fence().value(), shard.table().size());
    Attempt &attempt = m_attempts[shard.id()];
    attempt.askedAt.reset();
    attempt.pendingAt.reset();
    attempt.takenAt = m_context.now;
}

// In a cut both sides may want a shard: its home domain keeps trying, the other gives way.
void ShardHost::onLost(ShardId shard, const ShardLost &lost)
{
    logChange("shard-lost", "shard={} to={}", shard.value(), lost.newOwner.value());
    Attempt &attempt = m_attempts[shard];
    if (m_context.now - attempt.takenAt > LossMemory) {
        attempt.losses = 0;
    }
    const unsigned doublings = std::min(attempt.losses++, MaxLossDoublings);
    attempt.takeNotBefore = m_context.now + (isHome(shard) ? HomeLossPause : ForeignLossBackoff * (1U << doublings));
}

void ShardHost::onReleased(ShardId shard)
{
    logChange("shard-released", "shard={}", shard.value());
    auto members = m_context.members;
    members.erase(m_context.settings.instance);
    const auto asked = m_handoverTo.find(shard);
    const auto to = asked != m_handoverTo.end() ? std::optional<InstanceId>(asked->second) : assignedOwner(shard, m_context.settings.domains, members);
    if (to && members.count(*to) != 0) {
        m_context.actions.emplace_back(SendToPeer{members.at(*to).schedulerAddress, ShardAvailable{shard}});
    }
}

void ShardHost::pump(ShardId id)
{
    const auto it = m_shards.find(id);
    if (it == m_shards.end()) {
        return;
    }
    Shard &shard = *it->second;
    bool isGone = false;
    for (const ShardEvent &event : shard.takeEvents()) {
        m_onEvent(shard, event);
        std::visit(Visitors{[&](const ShardOpened &) { onOpened(shard); },
                            [](const ShardCommitted &) {},
                            [&](const ShardLost &lost) {
                                onLost(id, lost);
                                isGone = true;
                            },
                            [&](const ShardReleased &) {
                                onReleased(id);
                                isGone = true;
                            }},
                   event);
    }
    for (StoreOperation &operation : shard.takeOperations()) {
        m_context.actions.emplace_back(CallStore{id, std::move(operation)});
    }
    if (isGone) {
        m_handoverTo.erase(id);
        m_shards.erase(id);
    }
}

} // namespace flamingo
