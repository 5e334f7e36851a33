#pragma once

#include "core/codec.h"
#include "core/ids.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace flamingo
{

/// How a member is doing, in the order in which one fact outweighs another of the same incarnation.
enum class MemberState { Live = 0, Leaving = 1, Suspect = 2, Dead = 3 };

const char *memberStateName(MemberState state);

/// A shard that an instance owns.
struct OwnedShard {
    ShardId shard;
    FencingNumber fence;
};

/// What is known of one instance. Only the instance itself raises its incarnation.
struct MemberInfo {
    InstanceId instance;
    DomainId domain;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Live;
    bool isDraining = false; ///< Said by the instance itself.
    bool hasScheduler = false; ///< Its scheduler is running.
    std::string gossipAddress; ///< UDP, IP number and port.
    std::string controlAddress; ///< Peer link of its control daemon.
    std::string schedulerAddress; ///< Peer link of its scheduler.
    std::vector<OwnedShard> shards;
};

/// Whether a says something newer than b about the same instance.
bool supersedes(const MemberInfo &a, const MemberInfo &b);

/// Whether the instance can be given shards.
bool canOwnShards(const MemberInfo &info);

void to_json(nlohmann::json &json, const MemberInfo &info);
void from_json(const nlohmann::json &json, MemberInfo &info);

/// A gossip datagram.
struct GossipMessage {
    enum class Kind { Ping, Ack, PingRequest };

    Kind kind = Kind::Ping;
    std::uint64_t sequence = 0;
    InstanceId from;
    InstanceId target; ///< Whom a PingRequest is about.
    std::vector<MemberInfo> members;
};

std::string encodeGossip(const GossipMessage &message);
std::optional<GossipMessage> decodeGossip(const std::string &bytes);

} // namespace flamingo
