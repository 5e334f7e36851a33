#pragma once

#include "core/time.h"
#include "membership/memberinfo.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace flamingo
{

struct MembershipSettings {
    Milliseconds probePeriod{500}; ///< One member is probed in each period.
    Milliseconds ackTimeout{150}; ///< Then others are asked to probe it too.
    Milliseconds suspectTimeout{1500}; ///< A suspect that doesn't refute for so long is dead.
    std::size_t indirectProbeCount = 2;
    std::size_t maxMembersPerMessage = 8;
    std::size_t periodsPerDeadProbe = 4; ///< Each so many periods a dead member is probed as well, so that a cut heals.
};

/// A datagram to be sent to a member.
struct OutgoingGossip {
    InstanceId to;
    std::string address;
    GossipMessage message;
};

/// Who is there, in the manner of SWIM: each period one random member is probed, directly and then through others, and
/// news travels with the probes. The load on a member does not depend on how many there are.
///
/// Suspicion decides only when to try a takeover; the shard journal decides who owns.
class Membership
{
public:
    Membership(MemberInfo self, MembershipSettings settings, std::uint64_t randomSeed);

    /// Learns of a member from the settings or the platform's list. What gossip says of it goes first.
    void addSeed(const MemberInfo &info);

    /// Changes what this instance says of itself. The incarnation is raised.
    void updateSelf(const MemberInfo &info);

    void onMessage(const GossipMessage &message, Instant now);

    /// Takes in all that another member knows. What is learnt so isn't passed on as news, since everybody exchanges.
    void mergeMembers(const std::vector<MemberInfo> &members, Instant now);

    /// To be called every few milliseconds.
    void advance(Instant now);

    std::vector<OutgoingGossip> takeOutgoing();

    /// Whether the members have changed since the last time this was asked.
    bool takeChanged();

    const MemberInfo &self() const;

    /// All known members by id, this instance included.
    const std::map<InstanceId, MemberInfo> &members() const;

    /// Up to count random members that are there, this instance excluded.
    std::vector<InstanceId> randomPeers(std::size_t count);

private:
    struct Probe {
        InstanceId target;
        std::uint64_t sequence = 0;
        Instant startedAt;
        bool isIndirect = false;
    };
    struct IndirectPing {
        InstanceId requester;
        std::uint64_t sequence = 0;
    };
    struct PendingUpdate {
        InstanceId member;
        std::size_t sendsLeft = 0;
    };

    bool mergeMember(const MemberInfo &info, Instant now);
    void queueUpdate(const InstanceId &member);
    void send(const InstanceId &to, GossipMessage::Kind kind, std::uint64_t sequence, const InstanceId &target = {});
    std::vector<MemberInfo> takeUpdatesFor(const InstanceId &to);
    void startProbe(Instant now);
    void checkProbe(Instant now);
    void checkSuspects(Instant now);
    std::optional<InstanceId> nextProbeTarget();
    void setState(const InstanceId &member, MemberState state, Instant now);

    const MembershipSettings m_settings;
    MemberInfo m_self;
    std::mt19937_64 m_random;
    std::map<InstanceId, MemberInfo> m_members;
    std::map<InstanceId, Instant> m_suspectSince;
    std::map<std::uint64_t, IndirectPing> m_indirectPings;
    std::deque<PendingUpdate> m_pendingUpdates;
    std::vector<InstanceId> m_probeOrder;
    std::optional<Probe> m_probe;
    std::optional<Instant> m_nextProbe;
    std::vector<OutgoingGossip> m_outgoing;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_periodCount = 0;
    bool m_hasChanged = true;
};

} // namespace flamingo
