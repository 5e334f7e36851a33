#include "platform/testinstance.h"
#include "serving/memberdirectory.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <csignal>
#include <thread>

using namespace flamingo;

namespace
{
using Connection = ScriptedEndpoint::Connection;

void respondOk(Connection &connection, const ReceivedRequest &request)
{
    connection.write(ScriptedEndpoint::response(request, "ok"));
}

/// Responds to a turn with a stream of one event.
void respondWithEvent(Connection &connection, const ReceivedRequest &request)
{
    connection.write(ScriptedEndpoint::responseHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
    connection.write(ScriptedEndpoint::chunk(ScriptedEndpoint::event(1, "said")) + "0\r\n\r\n");
}

std::string turnHeaders(const std::string &program, int budget, int maxTokens, const std::string &previousTurn = {}, int partCount = 3)
{
    std::string promptPrefix = "aa:100";
    for (int n = 1; n < partCount; ++n) {
        promptPrefix += fmt::format(",b{}:10", n);
    }
    std::string headers = fmt::format("X-Program-Id: {}\r\nX-Session-Id: s\r\nX-Token-Budget: {}\r\nX-Token-Usage: 110,{}\r\nX-Prompt-Prefix: {}\r\n",
                                      program,
                                      budget,
                                      maxTokens,
                                      promptPrefix);
    return previousTurn.empty() ? headers : headers + "X-Previous-Turn: " + previousTurn + "\r\n";
}

/// Two ready instances that share one endpoint.
struct TwoInstances {
    TwoInstances()
        : endpoint(respondWithEvent)
    {
        store.put("op/config", testConfiguration(1));
        registerEndpoint(store, "i-1", endpoint);
        REQUIRE(first.awaitReady());
        REQUIRE(second.awaitReady());
    }

    KvStandIn store;
    ScriptedEndpoint endpoint;
    TestInstance first{store, 1};
    TestInstance second{store, 2};
};
} // namespace

TEST_CASE("Without a configuration an instance is not ready and refuses requests as not run", "[platform]")
{
    KvStandIn store;
    TestInstance instance(store, 1);
    REQUIRE(eventually([&] { return instance.send(callerRequest("/book/a", "a1"), Milliseconds(300)).status == 503; }));
    CHECK_FALSE(instance.isReady());
}

TEST_CASE("A configuration is applied within two seconds and never replaced by an older one", "[platform]")
{
    KvStandIn store;
    ScriptedEndpoint endpoint(respondOk);
    store.put("op/config", testConfiguration(7));
    registerEndpoint(store, "i-1", endpoint);
    TestInstance instance(store, 1);
    REQUIRE(instance.awaitReady());
    CHECK(instance.send(callerRequest("/new/a", "a1")).status == 404);
    const std::string added = R"(,{"name":"r-new","host":"h.example","prefix":"/new/","type":"idempotent","timeout-ms":3000,"service":"app"})";
    store.put("op/config", testConfiguration(9, added));
    CHECK(eventually([&] { return instance.send(callerRequest("/new/a", "a2")).status == 200; }, Milliseconds(2000)));
    store.put("op/config", testConfiguration(8));
    std::this_thread::sleep_for(Milliseconds(300));
    CHECK(instance.send(callerRequest("/new/a", "a3")).status == 200);
    store.compact();
    store.put("op/config", testConfiguration(10));
    CHECK(eventually([&] { return instance.send(callerRequest("/new/a", "a4")).status == 404; }, Milliseconds(4000)));
}

TEST_CASE("A watch that misses a change while history is dropped delays a configuration by two seconds at most", "[platform]")
{
    KvStandIn store;
    ScriptedEndpoint endpoint(respondOk);
    store.put("op/config", testConfiguration(1));
    registerEndpoint(store, "i-1", endpoint);
    TestInstance instance(store, 1);
    REQUIRE(instance.awaitReady());
    store.setFault(KvStandIn::Fault::StalledWatches);
    const std::string added = R"(,{"name":"r-new","host":"h.example","prefix":"/new/","type":"idempotent","timeout-ms":3000,"service":"app"})";
    store.put("op/config", testConfiguration(2, added));
    CHECK(eventually([&] { return instance.send(callerRequest("/new/a", "a1")).status == 200; }, Milliseconds(2500)));
}

TEST_CASE("Malformed endpoint entries are ignored and valid ones are used", "[platform]")
{
    KvStandIn store;
    ScriptedEndpoint endpoint(respondOk);
    store.put("op/config", testConfiguration(1));
    store.put("servers/i-0", "\x01\x02");
    store.put("servers/i-2", R"({"service":"app","address":17,"zone":"z","slots":"many","state":"ready"})");
    store.put("servers/i-3", R"({"service":"app","address":"127.0.0.1:1","zone":"z","slots":3,"state":"dancing"})");
    registerEndpoint(store, "i-1", endpoint);
    TestInstance instance(store, 1);
    REQUIRE(instance.awaitReady());
    for (int n = 0; n < 5; ++n) {
        CHECK(instance.send(callerRequest("/book/a", "a" + std::to_string(n))).status == 200);
    }
    CHECK(endpoint.requests().size() == 5);
}

TEST_CASE("A leaving endpoint gets no new requests", "[platform]")
{
    KvStandIn store;
    ScriptedEndpoint leaving(respondOk);
    ScriptedEndpoint staying(respondOk);
    store.put("op/config", testConfiguration(1));
    registerEndpoint(store, "i-1", leaving);
    TestInstance instance(store, 1);
    REQUIRE(instance.awaitReady());
    CHECK(instance.send(callerRequest("/book/a", "a0")).status == 200);
    registerEndpoint(store, "i-2", staying);
    registerEndpoint(store, "i-1", leaving, "draining");
    REQUIRE(eventually([&] { return instance.log().find("endpoint=i-1 state=leaving") != std::string::npos; }, Milliseconds(1000)));
    for (int n = 0; n < 5; ++n) {
        CHECK(instance.send(callerRequest("/book/a", "b" + std::to_string(n))).status == 200);
    }
    CHECK(leaving.requests().size() == 1);
}

TEST_CASE("Endpoints stay in use during a store outage, and one that has lapsed meanwhile is dropped two seconds later", "[platform]")
{
    KvStandIn store;
    ScriptedEndpoint endpoint(respondOk);
    store.put("op/config", testConfiguration(1));
    registerEndpoint(store, "i-1", endpoint);
    TestInstance instance(store, 1);
    REQUIRE(instance.awaitReady());
    store.setFault(KvStandIn::Fault::Unavailable);
    REQUIRE(eventually([&] { return instance.log().find("event=store-lost prefix=servers/") != std::string::npos; }, Milliseconds(6000)));
    CHECK(instance.send(callerRequest("/book/a", "a1")).status == 200);
    store.remove("servers/i-1");
    store.setFault(KvStandIn::Fault::None);
    REQUIRE(eventually([&] { return instance.log().find("event=store-regained prefix=servers/") != std::string::npos; }));
    CHECK(instance.send(callerRequest("/book/a", "a2")).status == 200);
    CHECK(eventually([&] { return instance.send(callerRequest("/book/a", "a3")).status == 503; }, Milliseconds(2500)));
    CHECK(instance.isReady());
}

TEST_CASE_METHOD(TwoInstances, "A program's budget is enforced across two instances, a kill and a restart", "[platform]")
{
    constexpr int Budget = 200;
    constexpr int MaxTokens = 58;
    int served = 0;
    int refused = 0;
    for (int n = 0; n < 24; ++n) {
        if (n == 12) {
            first.killAndRestart();
            REQUIRE(first.awaitReady());
        }
        const TestInstance &instance = n % 2 == 0 ? first : second;
        const CallerResponse response = instance.send(callerRequest("/stream/a", fmt::format("p{}", n), turnHeaders("p1", Budget, MaxTokens)));
        CHECK((response.status == 200 || response.status == 402 || response.status == 503));
        served += response.status == 200 ? 1 : 0;
        refused += response.status == 402 ? 1 : 0;
    }
    // Each turn generates one event of 29 tokens. No turn may be refused while another one of 58 tokens fits into the 200.
    CHECK(served * 29 <= Budget + MaxTokens);
    CHECK(served >= 3);
    CHECK(endpoint.requests().size() == static_cast<std::size_t>(served));
}

// Guards against a budget that isn't enforced because its numbers are written in another way.
TEST_CASE_METHOD(TwoInstances, "A program's budget is enforced however its numbers are written", "[platform]")
{
    constexpr int Budget = 200;
    constexpr int MaxTokens = 58;
    int program = 0;
    for (const std::string usage : {"0000000000000110,58", "110,58             ", "110,00000000000000058"}) {
        ++program;
        const std::string lines = fmt::format("X-Program-Id: p{}\r\nX-Token-Budget: {}\r\nX-Token-Usage: {}\r\n", program, Budget, usage);
        int served = 0;
        for (int n = 0; n < 12; ++n) {
            served += first.send(callerRequest("/stream/a", fmt::format("u{}-{}", program, n), lines)).status == 200 ? 1 : 0;
        }
        INFO(usage);
        CHECK(served >= 3);
        CHECK(served * 29 <= Budget + MaxTokens);
    }
    CHECK(first.send(callerRequest("/stream/a", "v", "X-Program-Id: v\r\nX-Token-Budget: 200\r\nX-Token-Usage: 110,many\r\n")).status == 400);
}

// The load balancer routes callers elsewhere only after two failed readiness checks, so the detection itself must be quick.
TEST_CASE("An instance that reaches neither the store nor its peers is not ready after a second", "[platform]")
{
    constexpr Milliseconds DetectionLimit{1200};
    KvStandIn store;
    store.put("op/config", testConfiguration(1));
    TestInstance first(store, 1);
    TestInstance second(store, 2);
    REQUIRE(first.awaitReady());
    REQUIRE(second.awaitReady());
    std::this_thread::sleep_for(Milliseconds(4000));
    store.setFault(KvStandIn::Fault::Unresponsive);
    std::this_thread::sleep_for(Milliseconds(3000));
    CHECK(first.isReady()); // Only the store is unavailable.
    store.setFault(KvStandIn::Fault::None);
    std::this_thread::sleep_for(Milliseconds(3000));
    store.setFault(KvStandIn::Fault::Unresponsive);
    second.process().sendSignal(SIGSTOP);
    CHECK(eventually([&] { return !first.isReady(); }, DetectionLimit));
    const CallerResponse refused = first.send(callerRequest("/stream/a", "c1", turnHeaders("p1", 400, 58)));
    CHECK(refused.status == 503);
    REQUIRE(refused.fields.find("Retry-After"));
    CHECK(*refused.fields.find("Retry-After") == "2.000");
    second.process().sendSignal(SIGCONT);
    CHECK(eventually([&] { return first.isReady(); }, Milliseconds(2000)));
}

// Store outages are long compared to programs: a program that starts during one would end before the store is back,
// so it can't wait for that.
TEST_CASE_METHOD(TwoInstances, "A program that starts during a store outage is served by its home within its budget", "[platform]")
{
    constexpr int Budget = 400;
    constexpr int MaxTokens = 58;
    const auto turn = [&](TestInstance &instance, const std::string &id) {
        return instance.send(callerRequest("/stream/a", id, turnHeaders("p1", Budget, MaxTokens))).status;
    };
    std::this_thread::sleep_for(Milliseconds(7000)); // Until the instances are certain to know each other.
    store.setFault(KvStandIn::Fault::Unavailable);
    REQUIRE(eventually([&] { return first.log().find("event=store-lost") != std::string::npos; }, Milliseconds(6000)));
    int served = 0;
    for (int n = 0; n < 3; ++n) {
        served += turn(n % 2 == 0 ? first : second, fmt::format("away{}", n)) == 200 ? 1 : 0;
    }
    CHECK(served == 3);
    // The home may crash before it could record its provisional grants in the store.
    const bool isFirstHome = first.log().find("event=provisional-grant") != std::string::npos;
    TestInstance &home = isFirstHome ? first : second;
    TestInstance &other = isFirstHome ? second : first;
    home.killAndRestart();
    CHECK(eventually([&] { return turn(home, "restarted") == 503; }));
    store.setFault(KvStandIn::Fault::None);
    REQUIRE(home.awaitReady());
    for (int n = 0; n < 30; ++n) {
        const int status = turn(n % 2 == 0 ? home : other, fmt::format("back{}", n));
        CHECK((status == 200 || status == 402 || status == 503));
        served += status == 200 ? 1 : 0;
    }
    CHECK(served * 29 <= Budget + MaxTokens);
    CHECK(served * 29 >= Budget / 2);
}

TEST_CASE_METHOD(TwoInstances, "A stateful turn can be continued at another instance and after a kill, but never from an unknown turn", "[platform]")
{
    CHECK(first.send(callerRequest("/chat/a", "t1", turnHeaders("p1", 5000, 58, {}, 2), "hello ")).isComplete);
    CHECK(second.send(callerRequest("/chat/a", "t2", turnHeaders("p1", 5000, 58, "t1"), "and ")).isComplete);
    first.killAndRestart();
    second.killAndRestart();
    REQUIRE(first.awaitReady());
    CHECK(first.send(callerRequest("/chat/a", "t3", turnHeaders("p2", 5000, 58, "t2"), "then")).isComplete);
    const auto requests = endpoint.requests();
    REQUIRE(requests.size() == 3);
    CHECK(requests[1].body == "hello said\nand ");
    CHECK(requests[2].body == "hello said\nand said\nthen");
    CHECK(first.send(callerRequest("/chat/a", "t4", turnHeaders("p2", 5000, 58, "t9"), "x")).status == 404);
    store.setFault(KvStandIn::Fault::Unavailable);
    const CallerResponse unsure = first.send(callerRequest("/chat/a", "t5", turnHeaders("p2", 5000, 58, "t8"), "x"));
    CHECK(unsure.status == 503);
    CHECK(unsure.fields.find("Retry-After") != nullptr);
}

TEST_CASE("A budget write whose response is lost counts once", "[platform]")
{
    KvStandIn store;
    ScriptedEndpoint endpoint(respondWithEvent);
    store.put("op/config", testConfiguration(1));
    registerEndpoint(store, "i-1", endpoint);
    TestInstance instance(store, 1);
    REQUIRE(instance.awaitReady());
    store.setFault(KvStandIn::Fault::LostResponses);
    std::thread recovery([&] {
        eventually([&] { return !store.keys("budget/").empty(); });
        store.setFault(KvStandIn::Fault::None);
    });
    const CallerResponse response = instance.send(callerRequest("/stream/a", "u1", turnHeaders("p1", 300, 58)));
    recovery.join();
    CHECK(response.status == 200);
    int served = 1;
    for (int n = 0; n < 12; ++n) {
        const CallerResponse later = instance.send(callerRequest("/stream/a", fmt::format("v{}", n), turnHeaders("p1", 300, 58)));
        UNSCOPED_INFO("status " << later.status);
        served += later.status == 200 ? 1 : 0;
    }
    CHECK(served * 29 <= 300 + 58);
    CHECK(served >= 8);
}

TEST_CASE("Changed settings are reloaded at once after SIGHUP, and within seconds without it", "[platform]")
{
    KvStandIn store;
    TestInstance instance(store, 1);
    REQUIRE(eventually([&] { return instance.log().find("event=started") != std::string::npos; }));
    instance.editSettings("grace-s = 8", "grace-s = 9");
    instance.process().sendSignal(SIGHUP);
    CHECK(eventually([&] { return instance.log().find("event=reloaded grace_ms=9000") != std::string::npos; }, Milliseconds(1000)));
    instance.editSettings("grace-s = 9", "grace-s = 7");
    CHECK(eventually([&] { return instance.log().find("event=reloaded grace_ms=7000") != std::string::npos; }, Milliseconds(8000)));
    instance.editSettings("grace-s = 7", "grace-s =");
    CHECK(eventually([&] { return instance.log().find("event=reload-failed") != std::string::npos; }, Milliseconds(8000)));
}

TEST_CASE("An instance that others have presumed dead or removed from the list registers again", "[platform]")
{
    KvStandIn store;
    store.put("op/config", testConfiguration(1));
    TestInstance instance(store, 1);
    const std::string key = std::string(MemberDirectory::KeyPrefix) + "edge-1";
    const auto isPresent = [&] { return store.get(key).find("\"gone\":false") != std::string::npos; };
    REQUIRE(eventually(isPresent));
    REQUIRE(eventually([&] { return instance.log().find("listed prefix=instance/") != std::string::npos; }));
    auto record = MemberRecord::decode(InstanceId("edge-1"), store.get(key));
    REQUIRE(record);
    record->isPresumedDead = true;
    store.put(key, record->encode());
    CHECK(eventually(isPresent));
    store.remove(key);
    CHECK(eventually(isPresent));
}
