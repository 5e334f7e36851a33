#pragma once

#include "membership/memberinfo.h"

#include <map>
#include <optional>
#include <vector>

namespace flamingo
{

/// The failure domain in which the shard is preferably placed: its number modulo the number of domains, in the order of
/// the settings.
DomainId homeDomain(ShardId shard, const std::vector<DomainId> &domains);

/// The instance that should own the shard, chosen by rendezvous hashing among the members of the shard's home domain, or
/// among all members when none of the home domain can own shards.
std::optional<InstanceId> assignedOwner(ShardId shard, const std::vector<DomainId> &domains, const std::map<InstanceId, MemberInfo> &members);

/// Whether the instance is not dead and its scheduler is running, even while it is draining.
bool isSchedulerReachable(const MemberInfo &info);

/// The last known owner of the shard, dead members included. When several members report the shard, the one with the
/// highest fencing number is returned.
std::optional<InstanceId> lastKnownOwner(ShardId shard, const std::map<InstanceId, MemberInfo> &members);

/// Like lastKnownOwner(), but only among members whose scheduler is reachable.
std::optional<InstanceId> reachableOwner(ShardId shard, const std::map<InstanceId, MemberInfo> &members);

} // namespace flamingo
