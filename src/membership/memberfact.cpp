#include "membership/memberfact.h"

namespace flamingo
{

namespace
{
constexpr const char *StateNames[] = {"live", "leaving", "suspect", "dead"};
}

// Gossip is the one message whose size counts, so facts are written as lists.
void to_json(nlohmann::json &json, const MemberFact &fact)
{
    nlohmann::json shards = nlohmann::json::array();
    for (const OwnedShard &owned : fact.shards) {
        shards.push_back(owned.shard);
        shards.push_back(owned.fence);
    }
    json = nlohmann::json::array({fact.instance,
                                  fact.domain,
                                  fact.incarnation,
                                  static_cast<int>(fact.state),
                                  fact.isLeaving,
                                  fact.hasScheduler,
                                  fact.gossipAddress,
                                  fact.controlAddress,
                                  fact.schedulerAddress,
                                  std::move(shards)});
}

void from_json(const nlohmann::json &json, MemberFact &fact)
{
    fact.instance = json.at(0).get<InstanceId>();
    fact.domain = json.at(1).get<DomainId>();
    fact.incarnation = json.at(2).get<std::uint64_t>();
    fact.state = static_cast<MemberState>(json.at(3).get<int>() & 3);
    fact.isLeaving = json.at(4).get<bool>();
    fact.hasScheduler = json.at(5).get<bool>();
    fact.gossipAddress = json.at(6).get<std::string>();
    fact.controlAddress = json.at(7).get<std::string>();
    fact.schedulerAddress = json.at(8).get<std::string>();
    fact.shards.clear();
    const auto &shards = json.at(9);
    for (std::size_t n = 0; n + 1 < shards.size(); n += 2) {
        fact.shards.push_back({shards[n].get<ShardId>(), shards[n + 1].get<FencingNumber>()});
    }
}

const char *memberStateName(MemberState state)
{
    return StateNames[static_cast<int>(state)];
}

bool supersedes(const MemberFact &a, const MemberFact &b)
{
    if (a.incarnation != b.incarnation) {
        return a.incarnation > b.incarnation;
    }
    return a.state > b.state;
}

bool canOwnShards(const MemberFact &fact)
{
    const bool isThere = fact.state == MemberState::Live || fact.state == MemberState::Suspect;
    return isThere && fact.hasScheduler && !fact.isLeaving;
}

std::string encodeGossip(const GossipMessage &message)
{
    return toCbor(nlohmann::json::array({static_cast<int>(message.kind), message.sequence, message.from, message.target, message.facts}));
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
        message.facts = json->at(4).get<std::vector<MemberFact>>();
        return message;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace flamingo
