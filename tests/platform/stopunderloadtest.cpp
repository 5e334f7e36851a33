#include "platform/testinstance.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <csignal>
#include <thread>

using namespace flamingo;

// A planned stop cuts off no request that a caller has sent on an accepted connection, even with new connections arriving all
// the time.

namespace
{
constexpr int CallerCount = 24;
constexpr int GraceSeconds = 8;

/// What callers have seen while they sent one request after the other, each on a new connection, until the first refused one.
struct CallerCounts {
    std::atomic<int> answered{0};
    std::atomic<int> cutOff{0};
};

void callUntilRefused(const TestInstance &instance, int caller, CallerCounts &counts)
{
    for (int n = 0;; ++n) {
        const CallerResponse response = instance.send(callerRequest("/book/a", fmt::format("c{}-{}", caller, n)));
        if (!response.wasConnected) {
            return;
        }
        counts.answered += response.isComplete ? 1 : 0;
        counts.cutOff += response.isComplete ? 0 : 1;
    }
}
} // namespace

TEST_CASE("A planned stop under load answers every request that was accepted", "[platform][stop]")
{
    ScriptedEndpoint endpoint([](ScriptedEndpoint::Connection &connection, const ReceivedRequest &request) {
        connection.writeLater(Milliseconds(30), ScriptedEndpoint::response(request, "ok"));
    });
    KvStandIn store;
    store.put("op/config", testConfiguration(1));
    registerEndpoint(store, "i-1", endpoint);
    TestInstance instance(store, 1);
    REQUIRE(instance.awaitReady());
    CallerCounts counts;
    std::vector<std::thread> callers;
    for (int n = 0; n < CallerCount; ++n) {
        callers.emplace_back([&, n] { callUntilRefused(instance, n, counts); });
    }
    std::this_thread::sleep_for(Milliseconds(1000));
    const int exitCode = instance.process().terminate(GraceSeconds);
    for (std::thread &it : callers) {
        it.join();
    }
    CHECK(exitCode == 0);
    CHECK(counts.answered > CallerCount);
    CHECK(counts.cutOff == 0);
}
