#include "membership/membership.h"

#include <algorithm>
#include <cmath>

namespace flamingo
{

namespace
{
/// Each update is sent this many times the binary logarithm of the number of members, so that it reaches all of them.
constexpr double RetransmitFactor = 2.0;
constexpr std::size_t MaxIndirectPings = 1024;
} // namespace

Membership::Membership(MemberInfo self, MembershipSettings settings, std::uint64_t randomSeed)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_random(randomSeed)
{
    m_members[m_self.instance] = m_self;
}

void Membership::addSeed(const MemberInfo &info)
{
    if (m_members.emplace(info.instance, info).second) {
        m_hasChanged = true;
    }
}

void Membership::updateSelf(const MemberInfo &info)
{
    const std::uint64_t incarnation = m_self.incarnation + 1;
    m_self = info;
    m_self.incarnation = incarnation;
    m_members[m_self.instance] = m_self;
    m_hasChanged = true;
    queueUpdate(m_self.instance);
}

void Membership::queueUpdate(const InstanceId &member)
{
    m_pendingUpdates.erase(
        std::remove_if(m_pendingUpdates.begin(), m_pendingUpdates.end(), [&](const PendingUpdate &update) { return update.member == member; }),
        m_pendingUpdates.end());
    const double transmissions = RetransmitFactor * std::log2(static_cast<double>(m_members.size()) + 1);
    m_pendingUpdates.push_front({member, static_cast<std::size_t>(transmissions) + 1});
}

bool Membership::mergeMember(const MemberInfo &info, Instant now)
{
    if (info.instance == m_self.instance) {
        const bool mustRefute = info.incarnation > m_self.incarnation || (info.incarnation == m_self.incarnation && info.state != m_self.state);
        if (mustRefute) {
            m_self.incarnation = std::max(info.incarnation, m_self.incarnation);
            updateSelf(m_self);
        }
        return false;
    }
    const auto it = m_members.find(info.instance);
    if (it != m_members.end() && !supersedes(info, it->second)) {
        return false;
    }
    m_members[info.instance] = info;
    m_suspectSince.erase(info.instance);
    if (info.state == MemberState::Suspect) {
        m_suspectSince.emplace(info.instance, now);
    }
    m_hasChanged = true;
    return true;
}

void Membership::mergeMembers(const std::vector<MemberInfo> &members, Instant now)
{
    for (const MemberInfo &info : members) {
        (void)mergeMember(info, now);
    }
}

void Membership::setState(const InstanceId &member, MemberState state, Instant now)
{
    MemberInfo info = m_members.at(member);
    info.state = state;
    if (mergeMember(info, now)) {
        queueUpdate(member);
    }
}

void Membership::onMessage(const GossipMessage &message, Instant now)
{
    for (const MemberInfo &info : message.members) {
        if (mergeMember(info, now)) {
            queueUpdate(info.instance);
        }
    }
    switch (message.kind) {
    case GossipMessage::Kind::Ping:
        send(message.from, GossipMessage::Kind::Ack, message.sequence);
        break;
    case GossipMessage::Kind::PingRequest:
        if (m_indirectPings.size() < MaxIndirectPings && m_members.count(message.target) != 0) {
            m_indirectPings[++m_lastSequence] = {message.from, message.sequence};
            send(message.target, GossipMessage::Kind::Ping, m_lastSequence);
        }
        break;
    case GossipMessage::Kind::Ack: {
        const auto indirectPing = m_indirectPings.find(message.sequence);
        if (indirectPing != m_indirectPings.end()) {
            send(indirectPing->second.requester, GossipMessage::Kind::Ack, indirectPing->second.sequence);
            m_indirectPings.erase(indirectPing);
        }
        if (m_probe && m_probe->sequence == message.sequence) {
            m_probe.reset();
        }
        break;
    }
    }
}

void Membership::advance(Instant now)
{
    if (!m_nextProbe) {
        const auto offset = m_random() % static_cast<std::uint64_t>(m_settings.probePeriod.count());
        m_nextProbe = now + Milliseconds(offset);
    }
    checkProbe(now);
    checkSuspects(now);
    if (now >= *m_nextProbe) {
        m_nextProbe = now + m_settings.probePeriod;
        startProbe(now);
    }
}

void Membership::checkProbe(Instant now)
{
    if (!m_probe) {
        return;
    }
    if (!m_probe->isIndirect && now - m_probe->startedAt >= m_settings.ackTimeout) {
        m_probe->isIndirect = true;
        for (const InstanceId &peer : randomPeers(m_settings.indirectProbeCount)) {
            if (peer != m_probe->target) {
                send(peer, GossipMessage::Kind::PingRequest, m_probe->sequence, m_probe->target);
            }
        }
    }
    if (now - m_probe->startedAt >= m_settings.probePeriod) {
        const InstanceId target = m_probe->target;
        m_probe.reset();
        const MemberState state = m_members.at(target).state;
        if (state == MemberState::Live || state == MemberState::Leaving) {
            setState(target, MemberState::Suspect, now);
        }
    }
}

void Membership::checkSuspects(Instant now)
{
    std::vector<InstanceId> dead;
    for (const auto &[member, since] : m_suspectSince) {
        if (now - since >= m_settings.suspectTimeout) {
            dead.push_back(member);
        }
    }
    for (const InstanceId &member : dead) {
        setState(member, MemberState::Dead, now);
    }
}

void Membership::startProbe(Instant now)
{
    ++m_periodCount;
    if (m_periodCount % m_settings.periodsPerDeadProbe == 0) {
        std::vector<InstanceId> dead;
        for (const auto &[member, info] : m_members) {
            if (info.state == MemberState::Dead) {
                dead.push_back(member);
            }
        }
        if (!dead.empty()) {
            send(dead[m_random() % dead.size()], GossipMessage::Kind::Ping, ++m_lastSequence);
        }
    }
    if (m_indirectPings.size() >= MaxIndirectPings) {
        m_indirectPings.clear();
    }
    const auto target = nextProbeTarget();
    if (target) {
        m_probe = Probe{*target, ++m_lastSequence, now, false};
        send(*target, GossipMessage::Kind::Ping, m_lastSequence);
    }
}

std::optional<InstanceId> Membership::nextProbeTarget()
{
    while (true) {
        if (m_probeOrder.empty()) {
            for (const auto &[member, info] : m_members) {
                if (member != m_self.instance && info.state != MemberState::Dead) {
                    m_probeOrder.push_back(member);
                }
            }
            std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
            if (m_probeOrder.empty()) {
                return std::nullopt;
            }
        }
        const InstanceId target = m_probeOrder.back();
        m_probeOrder.pop_back();
        if (m_members.at(target).state != MemberState::Dead) {
            return target;
        }
    }
}

void Membership::send(const InstanceId &to, GossipMessage::Kind kind, std::uint64_t sequence, const InstanceId &target)
{
    const auto it = m_members.find(to);
    if (it == m_members.end()) {
        return;
    }
    m_outgoing.push_back({to, it->second.gossipAddress, {kind, sequence, m_self.instance, target, takeUpdatesFor(to)}});
}

// Always includes this instance's own info, so that a single message makes it known to the receiver. Includes the
// receiver's info when it isn't live, so that the receiver can refute it.
std::vector<MemberInfo> Membership::takeUpdatesFor(const InstanceId &to)
{
    std::vector<MemberInfo> members{m_self};
    const auto receiver = m_members.find(to);
    if (receiver != m_members.end() && receiver->second.state != MemberState::Live && receiver->second.incarnation > 0) {
        members.push_back(receiver->second);
    }
    std::deque<PendingUpdate> kept;
    while (!m_pendingUpdates.empty() && members.size() < m_settings.maxMembersPerMessage) {
        PendingUpdate update = m_pendingUpdates.front();
        m_pendingUpdates.pop_front();
        if (update.member != m_self.instance && update.member != to) {
            members.push_back(m_members.at(update.member));
        }
        if (--update.sendsLeft > 0) {
            kept.push_back(update);
        }
    }
    m_pendingUpdates.insert(m_pendingUpdates.end(), kept.begin(), kept.end());
    return members;
}

std::vector<OutgoingGossip> Membership::takeOutgoing()
{
    return std::exchange(m_outgoing, {});
}

bool Membership::takeChanged()
{
    return std::exchange(m_hasChanged, false);
}

const MemberInfo &Membership::self() const
{
    return m_self;
}

const std::map<InstanceId, MemberInfo> &Membership::members() const
{
    return m_members;
}

std::vector<InstanceId> Membership::randomPeers(std::size_t count)
{
    std::vector<InstanceId> peers;
    for (const auto &[member, info] : m_members) {
        if (member != m_self.instance && info.state != MemberState::Dead) {
            peers.push_back(member);
        }
    }
    std::shuffle(peers.begin(), peers.end(), m_random);
    peers.resize(std::min(count, peers.size()));
    return peers;
}

} // namespace flamingo
