#pragma once

#include "membership/memberinfo.h"

#include <map>
#include <optional>
#include <vector>

namespace flamingo
{

/// The home domain of shard s: number s modulo the number of domains, in the order of the settings.
DomainId homeDomain(ShardId shard, const std::vector<DomainId> &domains);

/// Which instance a shard belongs on, by rendezvous hashing: the members of the shard's home domain go first, then all.
std::optional<InstanceId> assignedOwner(ShardId shard, const std::vector<DomainId> &domains, const std::map<InstanceId, MemberInfo> &members);

/// Whether the instance's scheduler is there, also while it is leaving.
bool isSchedulerReachable(const MemberInfo &info);

/// Who was last known to own the shard, dead members included; of several the one with the highest fencing number.
std::optional<InstanceId> lastKnownOwner(ShardId shard, const std::map<InstanceId, MemberInfo> &members);

/// Who owns the shard, of the members whose scheduler is there.
std::optional<InstanceId> reachableOwner(ShardId shard, const std::map<InstanceId, MemberInfo> &members);

} // namespace flamingo
