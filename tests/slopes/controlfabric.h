#pragma once

#include "control/controlcore.h"

#include <cstdint>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace flamingo
{

/// Many controls' decisions in one process, with messages that take a fixed time. No network, no scheduler, no store:
/// it measures what membership and spreading cost a member, not how a cluster behaves.
class ControlFabric
{
public:
    ControlFabric(int members, int domains);
    ~ControlFabric();

    /// Lets simulated time pass.
    void run(Milliseconds time);

    /// Makes an object known at one member, as if the store had accepted a ticket there.
    void introduce(int member, const ConfigObject &object);

    /// How many members have the object in this ticket's state.
    int knowing(const ObjectKey &key, TicketNumber ticket) const;

    /// What the store's watches of endpoints bring, to the members that wait on one and reach the store.
    void bringEndpoints(const EndpointChanges &changes, const std::vector<int> &cutOff = {});

    /// Lets each member's scheduler connect.
    void connectSchedulers();

    /// How many members' schedulers were told last that exactly these endpoints are leaving.
    int toldOfLeaving(const std::vector<EndpointId> &endpoints) const;

    /// Waiting calls to the store that watch endpoints, of all members.
    std::size_t endpointWatches() const;

    /// How many members hold all others for live.
    int withFullView() const;

    std::uint64_t takeGossipBytes();
    std::uint64_t takePeerBytes();

private:
    struct Delivery {
        Instant at;
        std::uint64_t order;
        int to;
        int from;
        bool isGossip;
        GossipMessage gossip;
        PeerMessage peer;
    };
    struct Later {
        bool operator()(const std::unique_ptr<Delivery> &a, const std::unique_ptr<Delivery> &b) const
        {
            return a->at != b->at ? a->at > b->at : a->order > b->order;
        }
    };

    void collect(int from);
    void collectOnLink(int from, SendOnControlLink &send);
    void post(int from, int to, bool isGossip, GossipMessage gossip, PeerMessage peer);

    std::vector<std::unique_ptr<ControlCore>> m_cores;
    std::map<std::string, int> m_byAddress;
    std::set<int> m_watchingEndpoints;
    std::map<int, std::vector<EndpointId>> m_toldLeaving; ///< By member, what its scheduler was told last.
    std::priority_queue<std::unique_ptr<Delivery>, std::vector<std::unique_ptr<Delivery>>, Later> m_deliveries;
    Instant m_now{std::chrono::seconds(1000)};
    std::uint64_t m_order = 0;
    std::uint64_t m_gossipBytes = 0;
    std::uint64_t m_peerBytes = 0;
};

} // namespace flamingo
