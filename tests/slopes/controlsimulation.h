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
class ControlSimulation
{
public:
    ControlSimulation(int members, int domains);
    ~ControlSimulation();

    /// Lets simulated time pass.
    void run(Milliseconds time);

    /// Makes an object known at one member, as if the store had accepted a ticket there.
    void addObject(int member, const ConfigObject &object);

    /// How many members have the object in this ticket's state.
    int membersWithObject(const ObjectKey &key, TicketNumber ticket) const;

    /// What the store's watches of endpoints bring, to the members that wait on one and reach the store.
    void deliverEndpointChanges(const EndpointChanges &changes, const std::vector<int> &withoutStore = {});

    /// Lets each member's scheduler connect.
    void connectSchedulers();

    /// How many members' schedulers were told last that exactly these endpoints are leaving.
    int schedulersWithLeaving(const std::vector<EndpointId> &endpoints) const;

    /// Waiting calls to the store that watch endpoints, of all members.
    std::size_t endpointWatchCount() const;

    /// How many members hold all others for live.
    int membersWithFullView() const;

    std::uint64_t takeGossipBytes();
    std::uint64_t takePeerBytes();

private:
    struct QueuedMessage {
        Instant at;
        std::uint64_t order;
        int to;
        int from;
        bool isGossip;
        GossipMessage gossip;
        PeerMessage peer;
    };
    struct IsLater {
        bool operator()(const std::unique_ptr<QueuedMessage> &a, const std::unique_ptr<QueuedMessage> &b) const
        {
            return a->at != b->at ? a->at > b->at : a->order > b->order;
        }
    };

    void collectActions(int from);
    void handleLinkSend(int from, SendOnControlLink &send);
    void enqueue(int from, int to, bool isGossip, GossipMessage gossip, PeerMessage peer);

    std::vector<std::unique_ptr<ControlCore>> m_cores;
    std::map<std::string, int> m_memberByAddress;
    std::set<int> m_watchingEndpoints;
    std::map<int, std::vector<EndpointId>> m_leavingByMember; ///< By member, what its scheduler was told last.
    std::priority_queue<std::unique_ptr<QueuedMessage>, std::vector<std::unique_ptr<QueuedMessage>>, IsLater> m_queue;
    Instant m_now{std::chrono::seconds(1000)};
    std::uint64_t m_order = 0;
    std::uint64_t m_gossipBytes = 0;
    std::uint64_t m_peerBytes = 0;
};

} // namespace flamingo
