#include "platform/testinstance.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <thread>

using namespace flamingo;

// An endpoint that leaves says so in its answers, also when its entry still says that it is ready.

namespace
{
using Connection = ScriptedEndpoint::Connection;

const std::string LeavingLine = "Server-Leaving: 1\r\n";

/// An endpoint that answers after some time, and says that it leaves from when the test sets it.
struct LeavingEndpoint {
    ScriptedEndpoint::Script script()
    {
        return [this](Connection &connection, const ReceivedRequest &request) {
            const std::string lines = (isLeaving ? LeavingLine : std::string()) + "Content-Length: 2\r\n";
            connection.writeLater(workTime, ScriptedEndpoint::responseHead(request, lines, status) + "ok");
        };
    }

    std::atomic<bool> isLeaving{false};
    std::atomic<int> status{200};
    Milliseconds workTime{1};
    ScriptedEndpoint endpoint{script()};
};

void registerStarted(KvStandIn &store, const std::string &id, const ScriptedEndpoint &endpoint, int born, int slots = 16, const std::string &state = "ready")
{
    store.put(
        "servers/" + id,
        fmt::format(R"({{"service":"app","address":"{}","zone":"zone-1","version":"v1","slots":{},"state":"{}","cold-left-ms":0,"sequence":1,"born":{}}})",
                    endpoint.address().text(),
                    slots,
                    state,
                    born));
}

struct Fixture {
    Fixture()
    {
        store.put("op/config", testConfiguration(1));
        registerStarted(store, "i-1", leaving.endpoint, 1000);
    }

    void start()
    {
        instance = std::make_unique<TestInstance>(store, 1);
        REQUIRE(instance->awaitReady());
    }

    KvStandIn store;
    LeavingEndpoint leaving;
    LeavingEndpoint staying;
    std::unique_ptr<TestInstance> instance;
};
} // namespace

// Guards against requests to an endpoint that has said it leaves, and may be gone before it answers them.
TEST_CASE_METHOD(Fixture, "An endpoint that says in an answer that it leaves gets no further request, whatever its entry says", "[platform][leaving]")
{
    for (const int status : {200, 404, 500, 503}) {
        leaving.isLeaving = false;
        leaving.status = 200;
        const int born = 1000 + status;
        registerStarted(store, "i-1", leaving.endpoint, born);
        store.remove("servers/i-2");
        start();
        REQUIRE(instance->send(callerRequest("/book/a", fmt::format("a{}", status))).status == 200);
        leaving.isLeaving = true;
        leaving.status = status;
        CHECK(instance->send(callerRequest("/book/a", fmt::format("b{}", status))).status == status);
        const std::size_t before = leaving.endpoint.requests().size();
        registerStarted(store, "i-2", staying.endpoint, 1);
        REQUIRE(eventually([&] { return instance->send(callerRequest("/book/a", fmt::format("c{}", status))).status == 200; }));
        // The entry is written again, as a heartbeat does.
        registerStarted(store, "i-1", leaving.endpoint, born, 15);
        REQUIRE(eventually([&] { return instance->log().find("endpoint=i-1 state=") != std::string::npos; }));
        for (int n = 0; n < 8; ++n) {
            CHECK(instance->send(callerRequest("/book/a", fmt::format("d{}-{}", status, n))).status == 200);
            CHECK(instance->send(callerRequest("/ask/a", fmt::format("e{}-{}", status, n))).status == 200);
        }
        INFO(status);
        CHECK(leaving.endpoint.requests().size() == before);
        instance.reset();
    }
}

// Guards against an endpoint that is never used again because its last start has left.
TEST_CASE_METHOD(Fixture, "An endpoint that starts anew under its id is used again", "[platform][leaving]")
{
    start();
    leaving.isLeaving = true;
    REQUIRE(instance->send(callerRequest("/book/a", "a1")).status == 200);
    leaving.isLeaving = false;
    CHECK(instance->send(callerRequest("/book/a", "a2")).status == 503);
    store.remove("servers/i-1");
    registerStarted(store, "i-1", leaving.endpoint, 2000);
    CHECK(eventually([&] { return instance->send(callerRequest("/book/a", "a3")).status == 200; }));
}

// Guards against requests that wait for endpoints of which none takes another one.
TEST_CASE_METHOD(Fixture, "When all endpoints of a pool leave, waiting and new requests are refused at once", "[platform][leaving]")
{
    constexpr int Callers = 12;
    constexpr Milliseconds WorkTime{600};
    leaving.workTime = WorkTime;
    leaving.isLeaving = true;
    registerStarted(store, "i-1", leaving.endpoint, 1000, 1);
    start();
    std::atomic<int> served{0};
    std::atomic<int> refused{0};
    std::vector<std::thread> callers;
    const Instant start = std::chrono::steady_clock::now();
    for (int n = 0; n < Callers; ++n) {
        callers.emplace_back([&, n] {
            const CallerResponse response = instance->send(callerRequest("/book/a", fmt::format("w{}", n)));
            served += response.status == 200 ? 1 : 0;
            refused += response.status == 503 && response.fields.find("Retry-After") != nullptr ? 1 : 0;
        });
    }
    for (std::thread &it : callers) {
        it.join();
    }
    CHECK(served + refused == Callers);
    CHECK(served == static_cast<int>(leaving.endpoint.requests().size()));
    CHECK(refused > 0);
    // The first answer tells that the endpoint leaves; nobody waits for longer than for those that were sent before it.
    CHECK(std::chrono::steady_clock::now() - start < WorkTime * 2);
    CHECK(instance->send(callerRequest("/book/a", "w-new")).status == 503);
}
