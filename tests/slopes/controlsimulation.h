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

/// Runs the control cores of many instances in one process, with a fixed delay of messages. There is no network, scheduler
/// or store: it measures the cost per member of membership and of distributing the configuration, not the behaviour of a
/// cluster.
class ControlSimulation
{
public:
    ControlSimulation(int members, int domains);
    ~ControlSimulation();

    /// Advances the simulated time.
    void run(Milliseconds time);

    /// Passes an object to one member, as if a ticket had been accepted there.
    void addObject(int member, const ConfigObject &object);

    /// The number of members that have the object at this ticket or a newer one.
    int membersWithObject(const ObjectKey &key, TicketNumber ticket) const;

    /// Completes the pending endpoint watches with these changes. The watches of members without the store fail instead.
    void deliverEndpointChanges(const EndpointChanges &changes, const std::vector<int> &withoutStore = {});

    /// Connects a scheduler to each member.
    void connectSchedulers();

    /// The number of schedulers whose last update listed exactly these endpoints as leaving.
    int schedulersWithLeaving(const std::vector<EndpointId> &endpoints) const;

    /// The number of pending endpoint watches of all members.
    std::size_t endpointWatchCount() const;

    /// The number of members that see all members live.
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
    std::map<int, std::vector<EndpointId>> m_leavingByMember; ///< The last update sent to each member's scheduler.
    std::priority_queue<std::unique_ptr<QueuedMessage>, std::vector<std::unique_ptr<QueuedMessage>>, IsLater> m_queue;
    Instant m_now{std::chrono::seconds(1000)};
    std::uint64_t m_order = 0;
    std::uint64_t m_gossipBytes = 0;
    std::uint64_t m_peerBytes = 0;
};

} // namespace flamingo
