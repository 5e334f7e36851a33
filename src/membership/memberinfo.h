#pragma once

#include "core/codec.h"
#include "core/ids.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace flamingo
{

/// The state of a member. Of two infos with the same incarnation the one with the higher state is the newer.
enum class MemberState { Live = 0, Leaving = 1, Suspect = 2, Dead = 3 };

const char *memberStateName(MemberState state);

/// A shard that an instance owns, with the fencing number of its ownership.
struct OwnedShard {
    ShardId shard;
    FencingNumber fence;
};

/// What is known about one instance. Only the instance itself increments its incarnation, with each change that it
/// announces; 0 marks an instance that is known only by its addresses.
struct MemberInfo {
    InstanceId instance;
    DomainId domain;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Live;
    bool isDraining = false; ///< Announced by the instance itself.
    bool hasScheduler = false; ///< Its scheduler is connected to its control process.
    std::string gossipAddress; ///< For UDP: IP address and port.
    std::string controlAddress; ///< Peer link of its control process.
    std::string schedulerAddress; ///< Peer link of its scheduler.
    std::vector<OwnedShard> shards; ///< Kept when the scheduler disconnects.
};

/// Whether a is newer than b; both are about the same instance.
bool supersedes(const MemberInfo &a, const MemberInfo &b);

/// Whether shards may be assigned to the instance.
bool canOwnShards(const MemberInfo &info);

void to_json(nlohmann::json &json, const MemberInfo &info);
void from_json(const nlohmann::json &json, MemberInfo &info);

/// A gossip datagram, which also carries infos of members.
struct GossipMessage {
    enum class Kind { Ping, Ack, PingRequest };

    Kind kind = Kind::Ping;
    std::uint64_t sequence = 0;
    InstanceId from;
    InstanceId target; ///< The member to be pinged; only in a PingRequest.
    std::vector<MemberInfo> members;
};

std::string encodeGossip(const GossipMessage &message);

/// Returns nothing when the datagram is malformed.
std::optional<GossipMessage> decodeGossip(const std::string &bytes);

} // namespace flamingo
