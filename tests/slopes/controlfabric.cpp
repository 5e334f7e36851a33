#include "slopes/controlfabric.h"

#include "core/visitors.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace flamingo
{

namespace
{
constexpr Milliseconds MessageTime{2};
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

ControlFabric::ControlFabric(int members, int domains)
{
    for (int n = 0; n < members; ++n) {
        InstanceSettings settings = settingsOf(n, domains);
        // Two members are in everybody's settings; the others are found by gossip.
        for (int seed = 0; seed < 2; ++seed) {
            const InstanceSettings other = settingsOf(seed, domains);
            if (seed != n) {
                settings.peers.push_back({other.id, other.domain, other.controlGossip, other.controlPeer, other.schedulerPeer});
            }
        }
        m_byAddress[settings.controlGossip.text()] = n;
        m_byAddress[settings.controlPeer.text()] = n;
        m_cores.push_back(std::make_unique<ControlCore>(settings, 1));
    }
}

ControlFabric::~ControlFabric() = default;

void ControlFabric::post(int from, int to, bool isGossip, GossipMessage gossip, PeerMessage peer)
{
    auto delivery = std::make_unique<Delivery>();
    delivery->at = m_now + MessageTime;
    delivery->order = ++m_order;
    delivery->to = to;
    delivery->from = from;
    delivery->isGossip = isGossip;
    delivery->gossip = std::move(gossip);
    delivery->peer = std::move(peer);
    m_deliveries.push(std::move(delivery));
}

void ControlFabric::collectOnLink(int from, SendOnControlLink &send)
{
    if (send.link != SchedulerLink) {
        m_peerBytes += encodeMessage(send.message).size();
        post(from, static_cast<int>(send.link), false, {}, std::move(send.message));
    } else if (const auto *leaving = std::get_if<EndpointsLeaving>(&send.message)) {
        m_toldLeaving[from] = leaving->endpoints;
    }
}

// The link number of a message is its sender, so that an answer finds its way back.
void ControlFabric::collect(int from)
{
    for (ControlAction &action : m_cores[static_cast<std::size_t>(from)]->takeActions()) {
        std::visit(Visitors{[&](SendGossip &send) {
                                m_gossipBytes += encodeGossip(send.message).size() + MacBytes;
                                post(from, m_byAddress.at(send.address), true, std::move(send.message), {});
                            },
                            [&](SendToControlPeer &send) {
                                m_peerBytes += encodeMessage(send.message).size();
                                post(from, m_byAddress.at(send.address), false, {}, std::move(send.message));
                            },
                            [&](SendOnControlLink &send) { collectOnLink(from, send); },
                            [&](WatchEndpoints &) { m_watchingEndpoints.insert(from); },
                            [](auto &) {}},
                   action);
    }
}

void ControlFabric::run(Milliseconds time)
{
    const Instant end = m_now + time;
    while (m_now < end) {
        m_now += TimerPeriod;
        while (!m_deliveries.empty() && m_deliveries.top()->at <= m_now) {
            const Delivery &delivery = *m_deliveries.top();
            ControlCore &core = *m_cores[static_cast<std::size_t>(delivery.to)];
            core.setTime(m_now);
            const int to = delivery.to;
            if (delivery.isGossip) {
                core.onGossip(delivery.gossip);
            } else {
                core.onPeerMessage(static_cast<LinkId>(delivery.from), delivery.peer);
            }
            m_deliveries.pop();
            collect(to);
        }
        for (std::size_t n = 0; n < m_cores.size(); ++n) {
            m_cores[n]->setTime(m_now);
            m_cores[n]->onTimer();
            collect(static_cast<int>(n));
        }
    }
}

void ControlFabric::introduce(int member, const ConfigObject &object)
{
    m_cores[static_cast<std::size_t>(member)]->onPeerMessage(0, ConfigurationUpdate{{object}});
    collect(member);
}

int ControlFabric::knowing(const ObjectKey &key, TicketNumber ticket) const
{
    int count = 0;
    for (const auto &core : m_cores) {
        const auto it = core->configuration().objects().find(key);
        count += it != core->configuration().objects().end() && it->second.ticket >= ticket ? 1 : 0;
    }
    return count;
}

void ControlFabric::bringEndpoints(const EndpointChanges &changes, const std::vector<int> &cutOff)
{
    for (const int member : std::exchange(m_watchingEndpoints, {})) {
        const bool isCutOff = std::find(cutOff.begin(), cutOff.end(), member) != cutOff.end();
        m_cores[static_cast<std::size_t>(member)]->onEndpointChanges(isCutOff ? EndpointChanges() : changes);
        collect(member);
    }
}

void ControlFabric::connectSchedulers()
{
    for (std::size_t n = 0; n < m_cores.size(); ++n) {
        m_cores[n]->onPeerMessage(SchedulerLink, Subscribe{"scheduler"});
        collect(static_cast<int>(n));
    }
}

int ControlFabric::toldOfLeaving(const std::vector<EndpointId> &endpoints) const
{
    return static_cast<int>(std::count_if(m_toldLeaving.begin(), m_toldLeaving.end(), [&](const auto &it) { return it.second == endpoints; }));
}

std::size_t ControlFabric::endpointWatches() const
{
    return m_watchingEndpoints.size();
}

int ControlFabric::withFullView() const
{
    int count = 0;
    for (const auto &core : m_cores) {
        count += core->liveMembers() == m_cores.size() ? 1 : 0;
    }
    return count;
}

std::uint64_t ControlFabric::takeGossipBytes()
{
    return std::exchange(m_gossipBytes, 0);
}

std::uint64_t ControlFabric::takePeerBytes()
{
    return std::exchange(m_peerBytes, 0);
}

} // namespace flamingo
