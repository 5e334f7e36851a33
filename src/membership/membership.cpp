#include "membership/membership.h"

#include <algorithm>
#include <cmath>

namespace flamingo
{

namespace
{
/// Each piece of news is sent this many times the logarithm of the number of members.
constexpr double NewsFactor = 2.0;
constexpr std::size_t MaxRelays = 1024;
} // namespace

Membership::Membership(MemberFact self, MembershipSettings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_random(seed)
{
    m_members[m_self.instance] = m_self;
}

void Membership::addListed(const MemberFact &fact)
{
    if (m_members.emplace(fact.instance, fact).second) {
        m_hasChanged = true;
    }
}

void Membership::updateSelf(const MemberFact &fact)
{
    const std::uint64_t incarnation = m_self.incarnation + 1;
    m_self = fact;
    m_self.incarnation = incarnation;
    m_members[m_self.instance] = m_self;
    m_hasChanged = true;
    announce(m_self.instance);
}

void Membership::announce(const InstanceId &about)
{
    m_news.erase(std::remove_if(m_news.begin(), m_news.end(), [&](const News &news) { return news.about == about; }), m_news.end());
    const double times = NewsFactor * std::log2(static_cast<double>(m_members.size()) + 1);
    m_news.push_front({about, static_cast<std::size_t>(times) + 1});
}

bool Membership::learn(const MemberFact &fact, Instant now)
{
    if (fact.instance == m_self.instance) {
        const bool isWrong = fact.incarnation > m_self.incarnation || (fact.incarnation == m_self.incarnation && fact.state != m_self.state);
        if (isWrong) {
            m_self.incarnation = std::max(fact.incarnation, m_self.incarnation);
            updateSelf(m_self);
        }
        return false;
    }
    const auto it = m_members.find(fact.instance);
    if (it != m_members.end() && !supersedes(fact, it->second)) {
        return false;
    }
    m_members[fact.instance] = fact;
    m_suspectSince.erase(fact.instance);
    if (fact.state == MemberState::Suspect) {
        m_suspectSince.emplace(fact.instance, now);
    }
    m_hasChanged = true;
    return true;
}

void Membership::onExchange(const std::vector<MemberFact> &facts, Instant now)
{
    for (const MemberFact &fact : facts) {
        (void)learn(fact, now);
    }
}

void Membership::mark(const InstanceId &member, MemberState state, Instant now)
{
    MemberFact fact = m_members.at(member);
    fact.state = state;
    if (learn(fact, now)) {
        announce(member);
    }
}

void Membership::onMessage(const GossipMessage &message, Instant now)
{
    for (const MemberFact &fact : message.facts) {
        if (learn(fact, now)) {
            announce(fact.instance);
        }
    }
    switch (message.kind) {
    case GossipMessage::Kind::Ping:
        send(message.from, GossipMessage::Kind::Ack, message.sequence);
        break;
    case GossipMessage::Kind::PingRequest:
        if (m_relays.size() < MaxRelays && m_members.count(message.target) != 0) {
            m_relays[++m_lastSequence] = {message.from, message.sequence};
            send(message.target, GossipMessage::Kind::Ping, m_lastSequence);
        }
        break;
    case GossipMessage::Kind::Ack: {
        const auto relay = m_relays.find(message.sequence);
        if (relay != m_relays.end()) {
            send(relay->second.asker, GossipMessage::Kind::Ack, relay->second.sequence);
            m_relays.erase(relay);
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
        for (const InstanceId &helper : randomLive(m_settings.indirectProbes)) {
            if (helper != m_probe->target) {
                send(helper, GossipMessage::Kind::PingRequest, m_probe->sequence, m_probe->target);
            }
        }
    }
    if (now - m_probe->startedAt >= m_settings.probePeriod) {
        const InstanceId target = m_probe->target;
        m_probe.reset();
        const MemberState state = m_members.at(target).state;
        if (state == MemberState::Live || state == MemberState::Leaving) {
            mark(target, MemberState::Suspect, now);
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
        mark(member, MemberState::Dead, now);
    }
}

void Membership::startProbe(Instant now)
{
    ++m_periods;
    if (m_periods % m_settings.rejoinEvery == 0) {
        std::vector<InstanceId> dead;
        for (const auto &[member, fact] : m_members) {
            if (fact.state == MemberState::Dead) {
                dead.push_back(member);
            }
        }
        if (!dead.empty()) {
            send(dead[m_random() % dead.size()], GossipMessage::Kind::Ping, ++m_lastSequence);
        }
    }
    if (m_relays.size() >= MaxRelays) {
        m_relays.clear();
    }
    const auto target = nextTarget();
    if (target) {
        m_probe = Probe{*target, ++m_lastSequence, now, false};
        send(*target, GossipMessage::Kind::Ping, m_lastSequence);
    }
}

std::optional<InstanceId> Membership::nextTarget()
{
    while (true) {
        if (m_probeOrder.empty()) {
            for (const auto &[member, fact] : m_members) {
                if (member != m_self.instance && fact.state != MemberState::Dead) {
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
    m_sends.push_back({to, it->second.gossipAddress, {kind, sequence, m_self.instance, target, factsFor(to)}});
}

// The receiver is told what is believed of itself whenever that isn't "live", so that it can refute; and always this
// instance's own fact, so that one message is enough to be known.
std::vector<MemberFact> Membership::factsFor(const InstanceId &to)
{
    std::vector<MemberFact> facts{m_self};
    const auto receiver = m_members.find(to);
    if (receiver != m_members.end() && receiver->second.state != MemberState::Live && receiver->second.incarnation > 0) {
        facts.push_back(receiver->second);
    }
    std::deque<News> kept;
    while (!m_news.empty() && facts.size() < m_settings.factsPerMessage) {
        News news = m_news.front();
        m_news.pop_front();
        if (news.about != m_self.instance && news.about != to) {
            facts.push_back(m_members.at(news.about));
        }
        if (--news.sendsLeft > 0) {
            kept.push_back(news);
        }
    }
    m_news.insert(m_news.end(), kept.begin(), kept.end());
    return facts;
}

std::vector<GossipSend> Membership::takeSends()
{
    return std::exchange(m_sends, {});
}

bool Membership::takeChanged()
{
    return std::exchange(m_hasChanged, false);
}

const MemberFact &Membership::self() const
{
    return m_self;
}

const std::map<InstanceId, MemberFact> &Membership::members() const
{
    return m_members;
}

std::vector<InstanceId> Membership::randomLive(std::size_t count)
{
    std::vector<InstanceId> live;
    for (const auto &[member, fact] : m_members) {
        if (member != m_self.instance && fact.state != MemberState::Dead) {
            live.push_back(member);
        }
    }
    std::shuffle(live.begin(), live.end(), m_random);
    live.resize(std::min(count, live.size()));
    return live;
}

} // namespace flamingo
