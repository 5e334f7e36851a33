#include "membership/shardowner.h"

#include "core/digest.h"

namespace flamingo
{

DomainId homeDomain(ShardId shard, const std::vector<DomainId> &domains)
{
    return domains.empty() ? DomainId() : domains[shard.value() % domains.size()];
}

std::optional<InstanceId> assignedOwner(ShardId shard, const std::vector<DomainId> &domains, const std::map<InstanceId, MemberInfo> &members)
{
    const DomainId home = homeDomain(shard, domains);
    std::optional<InstanceId> best;
    bool isBestInHomeDomain = false;
    std::uint64_t bestWeight = 0;
    for (const auto &[instance, info] : members) {
        if (!canOwnShards(info)) {
            continue;
        }
        const bool isInHomeDomain = info.domain == home;
        const std::uint64_t weight = stableHash(instance.value(), shard.value());
        const bool isBetter = isInHomeDomain != isBestInHomeDomain ? isInHomeDomain : weight > bestWeight;
        if (!best || isBetter) {
            best = instance;
            isBestInHomeDomain = isInHomeDomain;
            bestWeight = weight;
        }
    }
    return best;
}

bool isSchedulerReachable(const MemberInfo &info)
{
    return info.state != MemberState::Dead && info.hasScheduler;
}

namespace
{
template<typename Filter>
std::optional<InstanceId> ownerWithHighestFence(ShardId shard, const std::map<InstanceId, MemberInfo> &members, Filter filter)
{
    std::optional<InstanceId> owner;
    FencingNumber highest;
    for (const auto &[instance, info] : members) {
        if (!filter(info)) {
            continue;
        }
        for (const OwnedShard &owned : info.shards) {
            if (owned.shard == shard && (!owner || owned.fence > highest)) {
                owner = instance;
                highest = owned.fence;
            }
        }
    }
    return owner;
}
} // namespace

std::optional<InstanceId> lastKnownOwner(ShardId shard, const std::map<InstanceId, MemberInfo> &members)
{
    return ownerWithHighestFence(shard, members, [](const MemberInfo &) { return true; });
}

std::optional<InstanceId> reachableOwner(ShardId shard, const std::map<InstanceId, MemberInfo> &members)
{
    return ownerWithHighestFence(shard, members, &isSchedulerReachable);
}

} // namespace flamingo
