#include "slopes/controlsimulation.h"

#include "core/visitors.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace flamingo
{

namespace
{
constexpr Milliseconds MessageDelay{2};
constexpr Milliseconds TimerPeriod{10};
constexpr std::size_t MacBytes = 16;
constexpr LinkId SchedulerLink = 1000000;

InstanceSettings settingsOf(int n, int domains)
{
    InstanceSettings settings;
    settings.id = InstanceId(fmt::format("i{:03}", n));
    settings.domain = DomainId(fmt::format("d{}", n % domains));
    settings.controlGossip = {fmt::format("10.0.{}.{}", n / 250, n % 250), 7001};
    settings.controlPeer = {settings.controlGossip.host, 7002};
    settings.schedulerPeer = {settings.controlGossip.host, 7003};
    return settings;
}
} // namespace

ControlSimulation::ControlSimulation(int members, int domains)
{
    for (int n = 0; n < members; ++n) {
        InstanceSettings settings = settingsOf(n, domains);
        // Two members are seeds in all settings; the others are discovered by gossip.
        for (int seed = 0; seed < 2; ++seed) {
            const InstanceSettings other = settingsOf(seed, domains);
            if (seed != n) {
                settings.peers.push_back({other.id, other.domain, other.controlGossip, other.controlPeer, other.schedulerPeer});
            }
        }
        m_memberByAddress[settings.controlGossip.text()] = n;
        m_memberByAddress[settings.controlPeer.text()] = n;
        m_cores.push_back(std::make_unique<ControlCore>(settings, 1));
    }
}

ControlSimulation::~ControlSimulation() = default;

void ControlSimulation::enqueue(int from, int to, bool isGossip, GossipMessage gossip, PeerMessage peer)
{
    auto message = std::make_unique<QueuedMessage>();
    message->at = m_now + MessageDelay;
    message->order = ++m_order;
    message->to = to;
    message->from = from;
    message->isGossip = isGossip;
    message->gossip = std::move(gossip);
    message->peer = std::move(peer);
    m_queue.push(std::move(message));
}

void ControlSimulation::handleLinkSend(int from, SendOnControlLink &send)
{
    if (send.link != SchedulerLink) {
        m_peerBytes += encodeMessage(send.message).size();
        enqueue(from, static_cast<int>(send.link), false, {}, std::move(send.message));
    } else if (const auto *leaving = std::get_if<EndpointsLeaving>(&send.message)) {
        m_leavingByMember[from] = leaving->endpoints;
    }
}

// The link id of a delivered message is the number of its sender, so that a reply on that link reaches the sender.
void ControlSimulation::collectActions(int from)
{
    for (ControlAction &action : m_cores[static_cast<std::size_t>(from)]->takeActions()) {
        std::visit(Visitors{[&](SendGossip &send) {
                                m_gossipBytes += encodeGossip(send.message).size() + MacBytes;
                                enqueue(from, m_memberByAddress.at(send.address), true, std::move(send.message), {});
                            },
                            [&](SendToControlPeer &send) {
                                m_peerBytes += encodeMessage(send.message).size();
                                enqueue(from, m_memberByAddress.at(send.address), false, {}, std::move(send.message));
                            },
                            [&](SendOnControlLink &send) { handleLinkSend(from, send); },
                            [&](WatchEndpoints &) { m_watchingEndpoints.insert(from); },
                            [](auto &) {}},
                   action);
    }
}

void ControlSimulation::run(Milliseconds time)
{
    const Instant end = m_now + time;
    while (m_now < end) {
        m_now += TimerPeriod;
        while (!m_queue.empty() && m_queue.top()->at <= m_now) {
            const QueuedMessage &message = *m_queue.top();
            ControlCore &core = *m_cores[static_cast<std::size_t>(message.to)];
            core.setTime(m_now);
            const int to = message.to;
            if (message.isGossip) {
                core.onGossip(message.gossip);
            } else {
                core.onPeerMessage(static_cast<LinkId>(message.from), message.peer);
            }
            m_queue.pop();
            collectActions(to);
        }
        for (std::size_t n = 0; n < m_cores.size(); ++n) {
            m_cores[n]->setTime(m_now);
            m_cores[n]->onTimer();
            collectActions(static_cast<int>(n));
        }
    }
}

void ControlSimulation::addObject(int member, const ConfigObject &object)
{
    m_cores[static_cast<std::size_t>(member)]->onPeerMessage(0, ConfigurationUpdate{{object}});
    collectActions(member);
}

int ControlSimulation::membersWithObject(const ObjectKey &key, TicketNumber ticket) const
{
    int count = 0;
    for (const auto &core : m_cores) {
        const auto it = core->configuration().objects().find(key);
        count += it != core->configuration().objects().end() && it->second.ticket >= ticket ? 1 : 0;
    }
    return count;
}

void ControlSimulation::deliverEndpointChanges(const EndpointChanges &changes, const std::vector<int> &withoutStore)
{
    for (const int member : std::exchange(m_watchingEndpoints, {})) {
        const bool isStoreUnreachable = std::find(withoutStore.begin(), withoutStore.end(), member) != withoutStore.end();
        m_cores[static_cast<std::size_t>(member)]->onEndpointChanges(isStoreUnreachable ? EndpointChanges() : changes);
        collectActions(member);
    }
}

void ControlSimulation::connectSchedulers()
{
    for (std::size_t n = 0; n < m_cores.size(); ++n) {
        m_cores[n]->onPeerMessage(SchedulerLink, Subscribe{"scheduler"});
        collectActions(static_cast<int>(n));
    }
}

int ControlSimulation::schedulersWithLeaving(const std::vector<EndpointId> &endpoints) const
{
    return static_cast<int>(std::count_if(m_leavingByMember.begin(), m_leavingByMember.end(), [&](const auto &it) { return it.second == endpoints; }));
}

std::size_t ControlSimulation::endpointWatchCount() const
{
    return m_watchingEndpoints.size();
}

int ControlSimulation::membersWithFullView() const
{
    int count = 0;
    for (const auto &core : m_cores) {
        count += core->liveMemberCount() == m_cores.size() ? 1 : 0;
    }
    return count;
}

std::uint64_t ControlSimulation::takeGossipBytes()
{
    return std::exchange(m_gossipBytes, 0);
}

std::uint64_t ControlSimulation::takePeerBytes()
{
    return std::exchange(m_peerBytes, 0);
}

} // namespace flamingo
