#include "membership/memberinfo.h"

namespace flamingo
{

namespace
{
constexpr const char *StateNames[] = {"live", "leaving", "suspect", "dead"};
}

// Written as an array without field names, because gossip datagrams are the only messages whose size matters.
void to_json(nlohmann::json &json, const MemberInfo &info)
{
    nlohmann::json shards = nlohmann::json::array();
    for (const OwnedShard &owned : info.shards) {
        shards.push_back(owned.shard);
        shards.push_back(owned.fence);
    }
    json = nlohmann::json::array({info.instance,
                                  info.domain,
                                  info.incarnation,
                                  static_cast<int>(info.state),
                                  info.isDraining,
                                  info.hasScheduler,
                                  info.gossipAddress,
                                  info.controlAddress,
                                  info.schedulerAddress,
                                  std::move(shards)});
}

void from_json(const nlohmann::json &json, MemberInfo &info)
{
    info.instance = json.at(0).get<InstanceId>();
    info.domain = json.at(1).get<DomainId>();
    info.incarnation = json.at(2).get<std::uint64_t>();
    info.state = static_cast<MemberState>(json.at(3).get<int>() & 3);
    info.isDraining = json.at(4).get<bool>();
    info.hasScheduler = json.at(5).get<bool>();
    info.gossipAddress = json.at(6).get<std::string>();
    info.controlAddress = json.at(7).get<std::string>();
    info.schedulerAddress = json.at(8).get<std::string>();
    info.shards.clear();
    const auto &shards = json.at(9);
    for (std::size_t n = 0; n + 1 < shards.size(); n += 2) {
        info.shards.push_back({shards[n].get<ShardId>(), shards[n + 1].get<FencingNumber>()});
    }
}

const char *memberStateName(MemberState state)
{
    return StateNames[static_cast<int>(state)];
}

bool supersedes(const MemberInfo &a, const MemberInfo &b)
{
    if (a.incarnation != b.incarnation) {
        return a.incarnation > b.incarnation;
    }
    return a.state > b.state;
}

bool canOwnShards(const MemberInfo &info)
{
    const bool isReachable = info.state == MemberState::Live || info.state == MemberState::Suspect;
    return isReachable && info.hasScheduler && !info.isDraining;
}

std::string encodeGossip(const GossipMessage &message)
{
    return toCbor(nlohmann::json::array({static_cast<int>(message.kind), message.sequence, message.from, message.target, message.members}));
}

std::optional<GossipMessage> decodeGossip(const std::string &bytes)
{
    const auto json = fromCbor(bytes);
    if (!json) {
        return std::nullopt;
    }
    try {
        GossipMessage message;
        const int kind = json->at(0).get<int>();
        if (kind < 0 || kind > 2) {
            return std::nullopt;
        }
        message.kind = static_cast<GossipMessage::Kind>(kind);
        message.sequence = json->at(1).get<std::uint64_t>();
        message.from = json->at(2).get<InstanceId>();
        message.target = json->at(3).get<InstanceId>();
        message.members = json->at(4).get<std::vector<MemberInfo>>();
        return message;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace flamingo
