#include "slopes/controlsimulation.h"

#include <catch2/catch.hpp>

using namespace flamingo;

namespace
{
constexpr int MemberCount = 24;
constexpr int DomainCount = 3;

EndpointChanges endpointChanges(std::uint64_t revision, std::vector<EndpointEntry> present, std::vector<EndpointId> gone = {})
{
    EndpointChanges changes;
    changes.isOk = true;
    changes.isSnapshot = revision == 1;
    changes.revision = revision;
    changes.updated = std::move(present);
    changes.removed = std::move(gone);
    return changes;
}

EndpointEntry endpointEntry(const char *id, bool isLeaving)
{
    EndpointEntry entry;
    entry.id = EndpointId(id);
    entry.isLeaving = isLeaving;
    return entry;
}

/// Control processes that have discovered each other, of which some watch the endpoints.
struct StartedSimulation {
    StartedSimulation()
    {
        simulation.connectSchedulers();
        simulation.run(std::chrono::seconds(20));
    }

    ControlSimulation simulation{MemberCount, DomainCount};
};
} // namespace

// If every instance listed all endpoints every two seconds, 12000 endpoints would overload the store.
TEST_CASE_METHOD(StartedSimulation,
                 "Two instances of each failure domain watch the registered endpoints and all instances learn which ones are leaving",
                 "[control]")
{
    simulation.deliverEndpointChanges(endpointChanges(1, {endpointEntry("e1", false), endpointEntry("e2", false)}));
    simulation.run(std::chrono::seconds(2));
    CHECK(simulation.endpointWatchCount() == 2 * DomainCount);
    simulation.deliverEndpointChanges(endpointChanges(2, {endpointEntry("e1", true)}));
    simulation.run(Milliseconds(50));
    CHECK(simulation.schedulersWithLeaving({EndpointId("e1")}) == MemberCount);
    simulation.run(std::chrono::seconds(2));
    simulation.deliverEndpointChanges(endpointChanges(3, {}, {EndpointId("e1")}));
    simulation.run(Milliseconds(50));
    CHECK(simulation.schedulersWithLeaving({}) == MemberCount);
}

TEST_CASE_METHOD(StartedSimulation, "A failure domain whose watchers can't reach the store learns of leaving endpoints from other domains", "[control]")
{
    simulation.deliverEndpointChanges(endpointChanges(1, {endpointEntry("e1", false)}));
    simulation.run(std::chrono::seconds(2));
    std::vector<int> firstDomain;
    for (int n = 0; n < MemberCount; n += DomainCount) {
        firstDomain.push_back(n);
    }
    simulation.deliverEndpointChanges(endpointChanges(2, {endpointEntry("e1", true)}), firstDomain);
    simulation.run(std::chrono::seconds(3));
    CHECK(simulation.schedulersWithLeaving({EndpointId("e1")}) == MemberCount);
    // The watchers of the first domain continue from an older revision and must not revert the newer set of leaving endpoints.
    simulation.deliverEndpointChanges(endpointChanges(2, {endpointEntry("e1", true)}));
    simulation.run(std::chrono::seconds(3));
    CHECK(simulation.schedulersWithLeaving({EndpointId("e1")}) == MemberCount);
}
