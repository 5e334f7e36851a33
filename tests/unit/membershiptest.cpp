#include "membership/membership.h"
#include "membership/shardowner.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <set>

using namespace flamingo;

namespace
{
MemberInfo memberInfo(const std::string &id, const std::string &domain, std::uint64_t incarnation)
{
    MemberInfo info;
    info.instance = InstanceId(id);
    info.domain = DomainId(domain);
    info.incarnation = incarnation;
    info.hasScheduler = true;
    info.gossipAddress = id;
    return info;
}

/// Members in one process with a simulated clock. While partitioned, members with even and odd numbers don't receive
/// each other's datagrams.
class Cluster
{
public:
    explicit Cluster(int n)
    {
        for (int i = 0; i < n; ++i) {
            const std::string id = "m" + std::to_string(i);
            m_members[id] = std::make_unique<Membership>(memberInfo(id, i % 2 == 0 ? "d0" : "d1", 1), MembershipSettings{}, static_cast<std::uint64_t>(i));
            m_members[id]->addSeed(memberInfo("m0", "d0", 0));
            m_members[id]->addSeed(memberInfo("m1", "d1", 0));
        }
    }

    void run(Milliseconds time)
    {
        const Instant end = m_now + time;
        while (m_now < end) {
            m_now += Milliseconds(10);
            for (auto &[id, member] : m_members) {
                if (m_stopped.count(id) != 0) {
                    continue;
                }
                member->advance(m_now);
                for (OutgoingGossip &gossip : member->takeOutgoing()) {
                    m_bytes += encodeGossip(gossip.message).size();
                    const std::string &to = gossip.to.value();
                    if (m_stopped.count(to) == 0 && !isPartitioned(id, to)) {
                        m_members.at(to)->onMessage(gossip.message, m_now);
                    }
                }
            }
        }
    }

    void stop(const std::string &id)
    {
        m_stopped.insert(id);
    }

    void resume(const std::string &id)
    {
        m_stopped.erase(id);
    }

    void setPartitioned(bool isPartitioned)
    {
        m_isPartitioned = isPartitioned;
    }

    MemberState stateOf(const std::string &id, const std::string &seenBy) const
    {
        const auto &members = m_members.at(seenBy)->members();
        const auto it = members.find(InstanceId(id));
        return it == members.end() ? MemberState::Dead : it->second.state;
    }

    Membership &member(const std::string &id)
    {
        return *m_members.at(id);
    }

    std::size_t takeBytes()
    {
        return std::exchange(m_bytes, 0);
    }

private:
    bool isPartitioned(const std::string &a, const std::string &b) const
    {
        return m_isPartitioned && (a.back() - b.back()) % 2 != 0;
    }

    std::map<std::string, std::unique_ptr<Membership>> m_members;
    std::set<std::string> m_stopped;
    Instant m_now{};
    bool m_isPartitioned = false;
    std::size_t m_bytes = 0;
};
} // namespace

TEST_CASE("Members discover each other and detect a failure and a recovery")
{
    Cluster cluster(7);
    cluster.run(Milliseconds(5000));
    REQUIRE(cluster.stateOf("m6", "m5") == MemberState::Live);
    cluster.stop("m3");
    cluster.run(Milliseconds(10000));
    REQUIRE(cluster.stateOf("m3", "m0") == MemberState::Dead);
    REQUIRE(cluster.stateOf("m3", "m6") == MemberState::Dead);
    cluster.resume("m3");
    cluster.run(Milliseconds(10000));
    REQUIRE(cluster.stateOf("m3", "m0") == MemberState::Live);
    REQUIRE(cluster.stateOf("m0", "m3") == MemberState::Live);
}

TEST_CASE("Both sides of a network partition consider the other dead and recover after it has healed")
{
    Cluster cluster(6);
    cluster.run(Milliseconds(5000));
    cluster.setPartitioned(true);
    cluster.run(Milliseconds(12000));
    REQUIRE(cluster.stateOf("m1", "m0") == MemberState::Dead);
    REQUIRE(cluster.stateOf("m2", "m0") == MemberState::Live);
    cluster.setPartitioned(false);
    cluster.run(Milliseconds(20000));
    for (const char *a : {"m0", "m1", "m2", "m3", "m4", "m5"}) {
        for (const char *b : {"m0", "m1", "m2", "m3", "m4", "m5"}) {
            REQUIRE(cluster.stateOf(a, b) == MemberState::Live);
        }
    }
}

TEST_CASE("A changed member info reaches all members")
{
    Cluster cluster(9);
    cluster.run(Milliseconds(5000));
    MemberInfo changed = cluster.member("m4").self();
    changed.shards = {{ShardId(3), FencingNumber(7)}};
    changed.isDraining = true;
    cluster.member("m4").updateSelf(changed);
    cluster.run(Milliseconds(4000));
    for (const char *seenBy : {"m0", "m1", "m8"}) {
        const MemberInfo &seen = cluster.member(seenBy).members().at(InstanceId("m4"));
        REQUIRE(seen.isDraining);
        REQUIRE(reachableOwner(ShardId(3), cluster.member(seenBy).members()) == InstanceId("m4"));
    }
}

TEST_CASE("Shards are assigned to their home domain and few are reassigned when a member drains")
{
    std::map<InstanceId, MemberInfo> members;
    for (int n = 0; n < 8; ++n) {
        const auto id = "m" + std::to_string(n);
        members.emplace(InstanceId(id), memberInfo(id, n % 2 == 0 ? "d0" : "d1", 1));
    }
    const std::vector<DomainId> domains{DomainId("d0"), DomainId("d1")};
    std::map<std::uint32_t, InstanceId> before;
    for (std::uint32_t shard = 0; shard < 64; ++shard) {
        before[shard] = *assignedOwner(ShardId(shard), domains, members);
        REQUIRE(members.at(before[shard]).domain == domains[shard % 2]);
    }
    members.at(InstanceId("m2")).isDraining = true;
    for (std::uint32_t shard = 0; shard < 64; ++shard) {
        const auto now = *assignedOwner(ShardId(shard), domains, members);
        REQUIRE(now != InstanceId("m2"));
        if (before[shard] != InstanceId("m2")) {
            REQUIRE(now == before[shard]);
        }
    }
}
