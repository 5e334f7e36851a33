#include "membership/placement.h"

#include "core/digest.h"

namespace flamingo
{

DomainId homeDomain(ShardId shard, const std::vector<DomainId> &domains)
{
    return domains.empty() ? DomainId() : domains[shard.value() % domains.size()];
}

std::optional<InstanceId> placeShard(ShardId shard, const std::vector<DomainId> &domains, const std::map<InstanceId, MemberFact> &members)
{
    const DomainId home = homeDomain(shard, domains);
    std::optional<InstanceId> best;
    bool isBestAtHome = false;
    std::uint64_t bestWeight = 0;
    for (const auto &[instance, fact] : members) {
        if (!canOwnShards(fact)) {
            continue;
        }
        const bool isAtHome = fact.domain == home;
        const std::uint64_t weight = stableHash(instance.value(), shard.value());
        const bool isBetter = isAtHome != isBestAtHome ? isAtHome : weight > bestWeight;
        if (!best || isBetter) {
            best = instance;
            isBestAtHome = isAtHome;
            bestWeight = weight;
        }
    }
    return best;
}

bool isServing(const MemberFact &fact)
{
    return fact.state != MemberState::Dead && fact.hasScheduler;
}

namespace
{
template<typename Filter>
std::optional<InstanceId> newestOwner(ShardId shard, const std::map<InstanceId, MemberFact> &members, Filter filter)
{
    std::optional<InstanceId> owner;
    FencingNumber highest;
    for (const auto &[instance, fact] : members) {
        if (!filter(fact)) {
            continue;
        }
        for (const OwnedShard &owned : fact.shards) {
            if (owned.shard == shard && (!owner || owned.fence > highest)) {
                owner = instance;
                highest = owned.fence;
            }
        }
    }
    return owner;
}
} // namespace

std::optional<InstanceId> lastOwner(ShardId shard, const std::map<InstanceId, MemberFact> &members)
{
    return newestOwner(shard, members, [](const MemberFact &) { return true; });
}

std::optional<InstanceId> claimedOwner(ShardId shard, const std::map<InstanceId, MemberFact> &members)
{
    return newestOwner(shard, members, &isServing);
}

} // namespace flamingo
