#include "platform/testinstance.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
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

namespace
{
constexpr int LongTimeoutMs = 5000;

/// An instance with an endpoint that takes as long as the request's body says, in milliseconds.
struct StoppedInstance {
    StoppedInstance()
        : endpoint([](ScriptedEndpoint::Connection &connection, const ReceivedRequest &request) {
            connection.writeLater(Milliseconds(std::stoi(request.body)), ScriptedEndpoint::response(request, "ok"));
        })
    {
        store.put(
            "op/config",
            testConfiguration(
                1,
                R"(,{"name":"r-long","host":"h.example","prefix":"/long/","type":"non_idempotent","timeout-ms":5000,"slo-ms":250,"priority":0,"service":"app","max-attempts":1})"));
        registerEndpoint(store, "i-1", endpoint);
        instance = std::make_unique<TestInstance>(store, 1);
        REQUIRE(instance->awaitReady());
    }

    /// A request that takes this long, and that its caller waits for at most the given time for.
    static std::string request(const std::string &id, int workMs, int timeoutMs = LongTimeoutMs)
    {
        const std::string body = std::to_string(workMs);
        return fmt::format("POST /long/a HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{}",
                           id,
                           timeoutMs,
                           body.size(),
                           body);
    }

    bool hasRun(const std::string &id) const
    {
        const auto requests = endpoint.requests();
        return std::any_of(requests.begin(), requests.end(), [&](const auto &it) { return it.head.fields.value("X-Attempt-Id") == id; });
    }

    ScriptedEndpoint endpoint;
    KvStandIn store;
    std::unique_ptr<TestInstance> instance;
};
} // namespace

// Guards against a request that is accepted on a kept connection late in a planned stop, and cut off at its end.
TEST_CASE_METHOD(StoppedInstance, "Late in a planned stop no request is accepted on a kept connection that can't be answered in time", "[platform][stop]")
{
    CallerConnection kept = instance->connect();
    kept.send(request("early", 1));
    REQUIRE(kept.read().status == 200);
    CallerConnection busy = instance->connect();
    busy.send(request("busy", 4500));
    REQUIRE(eventually([&] { return hasRun("busy"); }));
    instance->process().sendSignal(SIGTERM);
    std::this_thread::sleep_for(Milliseconds(3700));
    kept.send(request("late", 4600));
    const CallerResponse late = kept.read(Milliseconds(LongTimeoutMs));
    CHECK((late.isComplete || !hasRun("late")));
    CHECK(busy.read().status == 200);
    CHECK(instance->process().terminate(GraceSeconds) == 0);
}

TEST_CASE_METHOD(StoppedInstance,
                 "A request that has begun to arrive before connections close is served if there is time, and refused at once otherwise",
                 "[platform][stop]")
{
    CallerConnection brief = instance->connect();
    CallerConnection tooLong = instance->connect();
    const std::string briefRequest = request("brief", 300, 2000);
    const std::string longRequest = request("long", 4600);
    instance->process().sendSignal(SIGTERM);
    std::this_thread::sleep_for(Milliseconds(1500));
    brief.send(briefRequest.substr(0, 40));
    tooLong.send(longRequest.substr(0, 40));
    std::this_thread::sleep_for(Milliseconds(2000));
    brief.send(briefRequest.substr(40));
    tooLong.send(longRequest.substr(40));
    const CallerResponse refused = tooLong.read(Milliseconds(500));
    CHECK(refused.status == 503);
    CHECK(refused.fields.find("Retry-After") != nullptr);
    CHECK(refused.fields.value("Connection") == "close");
    CHECK(brief.read().status == 200);
    CHECK_FALSE(hasRun("long"));
    CHECK(instance->process().terminate(GraceSeconds) == 0);
}

// Guards against requests that are cut without an answer, though none of them has run, when a planned stop is over.
TEST_CASE_METHOD(StoppedInstance, "Requests that still wait at the end of a planned stop are refused as not run", "[platform][stop]")
{
    constexpr int LongestMs = 20000;
    store.put(
        "op/config",
        testConfiguration(
            2,
            R"(,{"name":"r-long","host":"h.example","prefix":"/long/","type":"non_idempotent","timeout-ms":20000,"slo-ms":250,"priority":0,"service":"app","max-attempts":1})"));
    store.put("servers/i-1",
              fmt::format(R"({{"service":"app","address":"{}","zone":"zone-1","version":"v1","slots":1,"state":"ready","cold-left-ms":0,"sequence":1}})",
                          endpoint.address().text()));
    REQUIRE(eventually([&] { return instance->log().find("event=configuration-applied version=2") != std::string::npos; }));
    std::this_thread::sleep_for(Milliseconds(300));
    constexpr int Callers = 8;
    std::vector<CallerResponse> responses(Callers);
    std::vector<std::thread> callers;
    for (int n = 0; n < Callers; ++n) {
        callers.emplace_back(
            [&, n] { responses[static_cast<std::size_t>(n)] = instance->send(request(fmt::format("w{}", n), 15000, LongestMs), Milliseconds(12000)); });
    }
    std::this_thread::sleep_for(Milliseconds(500));
    CHECK(instance->process().terminate(GraceSeconds) == 0);
    int refused = 0;
    for (std::thread &it : callers) {
        it.join();
    }
    for (int n = 0; n < Callers; ++n) {
        const CallerResponse &response = responses[static_cast<std::size_t>(n)];
        const bool ran = hasRun(fmt::format("w{}", n));
        INFO(n << " status " << response.status << " ran " << ran);
        CHECK(response.isComplete);
        CHECK(response.status == (ran ? 502 : 503));
        refused += response.status == 503 ? 1 : 0;
    }
    CHECK(refused > 0);
}
