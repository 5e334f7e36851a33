#include "slopes/controlfabric.h"

#include <catch2/catch.hpp>

using namespace flamingo;

namespace
{
constexpr int Members = 24;
constexpr int Domains = 3;

EndpointChanges changesOf(std::uint64_t revision, std::vector<EndpointEntry> present, std::vector<EndpointId> gone = {})
{
    EndpointChanges changes;
    changes.isOk = true;
    changes.isSnapshot = revision == 1;
    changes.revision = revision;
    changes.updated = std::move(present);
    changes.removed = std::move(gone);
    return changes;
}

EndpointEntry entryOf(const char *id, bool isLeaving)
{
    EndpointEntry entry;
    entry.id = EndpointId(id);
    entry.isLeaving = isLeaving;
    return entry;
}

/// Controls that have found each other, of which some watch.
struct StartedFabric {
    StartedFabric()
    {
        fabric.connectSchedulers();
        fabric.run(std::chrono::seconds(20));
    }

    ControlFabric fabric{Members, Domains};
};
} // namespace

// Twelve thousand endpoints listed by each instance every two seconds would be more than the store bears.
TEST_CASE_METHOD(StartedFabric, "Two instances of each failure domain watch the registered endpoints and all learn who is leaving", "[control]")
{
    fabric.bringEndpoints(changesOf(1, {entryOf("e1", false), entryOf("e2", false)}));
    fabric.run(std::chrono::seconds(2));
    CHECK(fabric.endpointWatches() == 2 * Domains);
    fabric.bringEndpoints(changesOf(2, {entryOf("e1", true)}));
    fabric.run(Milliseconds(50));
    CHECK(fabric.toldOfLeaving({EndpointId("e1")}) == Members);
    fabric.run(std::chrono::seconds(2));
    fabric.bringEndpoints(changesOf(3, {}, {EndpointId("e1")}));
    fabric.run(Milliseconds(50));
    CHECK(fabric.toldOfLeaving({}) == Members);
}

TEST_CASE_METHOD(StartedFabric, "A failure domain whose watchers don't reach the store learns of leaving endpoints from others", "[control]")
{
    fabric.bringEndpoints(changesOf(1, {entryOf("e1", false)}));
    fabric.run(std::chrono::seconds(2));
    std::vector<int> firstDomain;
    for (int n = 0; n < Members; n += Domains) {
        firstDomain.push_back(n);
    }
    fabric.bringEndpoints(changesOf(2, {entryOf("e1", true)}), firstDomain);
    fabric.run(std::chrono::seconds(3));
    CHECK(fabric.toldOfLeaving({EndpointId("e1")}) == Members);
    // Their watch goes on from an older revision and must not take the news back.
    fabric.bringEndpoints(changesOf(2, {entryOf("e1", true)}));
    fabric.run(std::chrono::seconds(3));
    CHECK(fabric.toldOfLeaving({EndpointId("e1")}) == Members);
}
