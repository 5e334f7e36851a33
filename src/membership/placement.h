#pragma once

#include "membership/memberfact.h"

#include <map>
#include <optional>
#include <vector>

namespace flamingo
{

/// The home domain of shard s: number s modulo the number of domains, in the order of the settings.
DomainId homeDomain(ShardId shard, const std::vector<DomainId> &domains);

/// Which instance a shard belongs on, by rendezvous hashing: the members of the shard's home domain go first, then all.
std::optional<InstanceId> placeShard(ShardId shard, const std::vector<DomainId> &domains, const std::map<InstanceId, MemberFact> &members);

/// Whether the instance's scheduler is there, also while it is leaving.
bool isServing(const MemberFact &fact);

/// Who was last known to own the shard, dead members included; of several the one with the highest fencing number.
std::optional<InstanceId> lastOwner(ShardId shard, const std::map<InstanceId, MemberFact> &members);

/// Who owns the shard, of the members whose scheduler is there.
std::optional<InstanceId> claimedOwner(ShardId shard, const std::map<InstanceId, MemberFact> &members);

} // namespace flamingo
