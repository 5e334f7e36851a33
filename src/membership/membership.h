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
    Milliseconds probePeriod{500}; ///< One member is probed per period.
    Milliseconds ackTimeout{150}; ///< Without an acknowledgement after this time, other members are asked to probe the member.
    Milliseconds suspectTimeout{1500}; ///< A suspect that doesn't refute the suspicion within this time is declared dead.
    std::size_t indirectProbeCount = 2; ///< Number of members that are asked for an indirect probe.
    std::size_t maxMembersPerMessage = 8;
    std::size_t periodsPerDeadProbe = 4; ///< Probe periods per ping of a dead member, so that both sides of a partition find each other again.
};

/// A gossip message to be sent to a member.
struct OutgoingGossip {
    InstanceId to;
    std::string address;
    GossipMessage message;
};

/// The members of the cluster, tracked by a protocol like SWIM: each period one random member is probed, directly and then
/// indirectly through others, and updates about members are piggybacked on these messages. The load on a member doesn't
/// depend on the size of the cluster.
///
/// A suspicion only decides when a takeover is attempted; the shard journal decides who owns a shard.
///
/// The class does no I/O: it returns the messages to be sent.
class Membership
{
public:
    Membership(MemberInfo self, MembershipSettings settings, std::uint64_t randomSeed);

    /// Adds a member that is known from the settings or the platform's list. Has no effect when it is known already, so
    /// that what gossip has brought takes precedence.
    void addSeed(const MemberInfo &info);

    /// Replaces the info of this instance and increments its incarnation.
    void updateSelf(const MemberInfo &info);

    void onMessage(const GossipMessage &message, Instant now);

    /// Merges the complete member list of another member. The changes are not queued for gossip, because all members
    /// exchange their lists.
    void mergeMembers(const std::vector<MemberInfo> &members, Instant now);

    /// Must be called every few milliseconds.
    void advance(Instant now);

    std::vector<OutgoingGossip> takeOutgoing();

    /// Returns whether the members have changed since the last call.
    bool takeChanged();

    const MemberInfo &self() const;

    /// All known members by id, this instance included.
    const std::map<InstanceId, MemberInfo> &members() const;

    /// Returns up to count random members other than this instance that are not dead.
    std::vector<InstanceId> randomPeers(std::size_t count);

private:
    struct Probe {
        InstanceId target;
        std::uint64_t sequence = 0;
        Instant startedAt;
        bool isIndirect = false;
    };
    /// A ping that another member has asked for, by the sequence number under which it was passed on.
    struct IndirectPing {
        InstanceId requester;
        std::uint64_t sequence = 0; ///< Of the requester's probe.
    };
    /// A change of a member that is still to be piggybacked on messages.
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
