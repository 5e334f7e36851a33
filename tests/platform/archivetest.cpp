#include "persistence/storedid.h"
#include "platform/testinstance.h"
#include "serving/archivemessages.h"
#include "serving/memberdirectory.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <thread>

using namespace flamingo;

namespace
{
using Connection = ScriptedEndpoint::Connection;

void respondWithEvent(Connection &connection, const ReceivedRequest &request)
{
    connection.write(ScriptedEndpoint::responseHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
    connection.write(ScriptedEndpoint::chunk(ScriptedEndpoint::event(1, "said")) + "0\r\n\r\n");
}

std::string turnRequest(const std::string &attemptId, const std::string &previousTurn, const std::string &text)
{
    std::string headerLines = "X-Program-Id: p1\r\nX-Session-Id: s\r\n";
    headerLines += previousTurn.empty() ? "" : "X-Previous-Turn: " + previousTurn + "\r\n";
    return callerRequest("/chat/a", attemptId, headerLines, text);
}

void registerArchive(KvStandIn &store, const std::string &id, const std::string &domain, const SocketAddress &address)
{
    const MemberRecord member{InstanceId(id), DomainId(domain), address, {}, MemberRecord::Role::Archive};
    store.put(MemberDirectory::KeyPrefix + id, member.encode());
}

/// Two archives, and an instance that has both on its list.
struct Fixture {
    Fixture()
        : endpoint(respondWithEvent)
        , first(store, 1)
        , second(store, 2)
    {
        store.put("op/config", testConfiguration(1));
        registerEndpoint(store, "i-1", endpoint);
        REQUIRE(eventually([this] { return store.keys(MemberDirectory::KeyPrefix).size() == 2; }));
        instance = std::make_unique<TestInstance>(store, 1);
        REQUIRE(instance->awaitReady());
    }

    bool isInStore(const std::string &id)
    {
        return !store.get(TurnKeyPrefix + id).empty();
    }

    KvStandIn store;
    ScriptedEndpoint endpoint;
    TestArchive first;
    TestArchive second;
    std::unique_ptr<TestInstance> instance;
};
} // namespace

TEST_CASE("A turn held only by archives can be continued after all processes are killed and one disk is lost", "[platform]")
{
    Fixture it;
    it.store.setFault(KvStandIn::Fault::Unavailable);
    REQUIRE(it.instance->send(turnRequest("t1", {}, "hello ")).isComplete);
    it.instance->process().kill();
    it.first.process().kill();
    it.second.process().kill();
    it.first.wipeDisk();
    it.store.setFault(KvStandIn::Fault::None);
    CHECK_FALSE(it.isInStore("t1"));
    it.instance->killAndRestart();
    it.first.start();
    it.second.start();
    REQUIRE(it.instance->awaitReady());
    CHECK(eventually([&] {
        static int n = 0;
        const CallerResponse response = it.instance->send(turnRequest("n" + std::to_string(++n), "t1", "again"));
        REQUIRE(response.status != 404);
        return response.isComplete && response.status == 200;
    }));
    CHECK(it.endpoint.requests().back().body == "hello said\nagain");
    CHECK(eventually([&] { return it.isInStore("t1"); }));
}

TEST_CASE("A turn survives the loss of as many disks as may be lost at once", "[platform]")
{
    KvStandIn store;
    ScriptedEndpoint endpoint(respondWithEvent);
    TestArchive archives[] = {{store, 1}, {store, 2}, {store, 3}};
    store.put("op/config", testConfiguration(1));
    registerEndpoint(store, "i-1", endpoint);
    REQUIRE(eventually([&] { return store.keys(MemberDirectory::KeyPrefix).size() == 3; }));
    TestInstance instance(store, 1, 2);
    REQUIRE(instance.awaitReady());
    store.setFault(KvStandIn::Fault::Unavailable);
    constexpr int Turns = 20;
    for (int n = 0; n < Turns; ++n) {
        REQUIRE(instance.send(turnRequest("w" + std::to_string(n), {}, "hello ")).isComplete);
    }
    for (TestArchive &archive : archives) {
        archive.process().kill();
    }
    archives[0].wipeDisk();
    archives[1].wipeDisk();
    store.setFault(KvStandIn::Fault::None);
    archives[2].start();
    CHECK(eventually([&] { return store.keys(TurnKeyPrefix).size() == Turns; }));
}

// Guards against a program that lasts longer than twice its route's retention and gets 503 for ever once its home has restarted.
TEST_CASE("A program that lasts longer than twice the retention goes on after its instance restarts", "[platform]")
{
    constexpr Milliseconds ProgramTime{16000};
    constexpr Milliseconds TurnPeriod{400};
    ScriptedEndpoint endpoint([](ScriptedEndpoint::Connection &connection, const ReceivedRequest &request) {
        connection.write(ScriptedEndpoint::responseHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
                         + ScriptedEndpoint::chunk(ScriptedEndpoint::event(1, "out")) + "0\r\n\r\n");
    });
    KvStandIn store;
    store.put(
        "op/config",
        testConfiguration(
            1,
            R"(,{"name":"r-brief","host":"h.example","prefix":"/brief/","type":"streaming","timeout-ms":3000,"slo-ms":250,"priority":0,"service":"app","max-attempts":1,"stateful":true,"retention-s":4.0})"));
    registerEndpoint(store, "i-1", endpoint);
    TestInstance instance(store, 1);
    REQUIRE(instance.awaitReady());
    std::string lines;
    std::string history;
    const Instant end = std::chrono::steady_clock::now() + ProgramTime;
    for (int n = 1; std::chrono::steady_clock::now() < end; ++n) {
        const std::string id = "t" + std::to_string(n);
        REQUIRE(instance.send(callerRequest("/brief/a", id, lines, id + "?")).isComplete);
        lines = "X-Previous-Turn: " + id + "\r\n";
        history += id + "?out\n";
        std::this_thread::sleep_for(TurnPeriod);
    }
    instance.killAndRestart();
    REQUIRE(instance.awaitReady());
    CHECK(instance.send(callerRequest("/brief/a", "last", lines, "!")).status == 200);
    CHECK(endpoint.requests().back().body == history + "!");
}

// Guards against a turn that stays on two disks for ever, and that is lost with them, because it is longer than a value of the store.
TEST_CASE("A turn longer than a value of the store is uploaded, and doesn't hold up the others", "[platform]")
{
    const std::string longText(700000, 'o');
    ScriptedEndpoint endpoint([&](Connection &connection, const ReceivedRequest &request) {
        const std::string text = request.body == "long" ? longText : "said";
        connection.write(ScriptedEndpoint::responseHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
        for (int n = 1; n <= 2; ++n) {
            connection.write(ScriptedEndpoint::chunk(ScriptedEndpoint::event(n, text)));
        }
        connection.write("0\r\n\r\n");
    });
    Fixture it;
    registerEndpoint(it.store, "i-1", endpoint);
    // The fixture's endpoint has left when this one gets each request.
    int asked = 0;
    const auto isReplaced = [&] {
        const std::size_t before = endpoint.requests().size();
        it.instance->send(callerRequest("/ask/a", fmt::format("r{}", ++asked)));
        return endpoint.requests().size() > before;
    };
    REQUIRE(eventually(isReplaced));
    constexpr std::size_t Turns = 6;
    REQUIRE(it.instance->send(turnRequest("t0", {}, "long")).isComplete);
    for (std::size_t n = 1; n < Turns; ++n) {
        REQUIRE(it.instance->send(turnRequest("t" + std::to_string(n), {}, "short")).isComplete);
    }
    CHECK(eventually([&] { return it.store.keys(TurnKeyPrefix).size() == Turns; }));
    it.first.process().kill();
    it.second.process().kill();
    it.first.wipeDisk();
    it.second.wipeDisk();
    it.first.start();
    it.second.start();
    it.instance->killAndRestart();
    REQUIRE(it.instance->awaitReady());
    REQUIRE(eventually([&] {
        static int n = 0;
        const CallerResponse response = it.instance->send(turnRequest("n" + std::to_string(++n), "t0", "again"));
        REQUIRE(response.status != 404);
        return response.isComplete && response.status == 200;
    }));
    CHECK(endpoint.requests().back().body == "long" + longText + "\n" + longText + "\nagain");
}

// Guards against a request of any caller that ends all archives, again at each start, or the instance that keeps its budget.
TEST_CASE("Ids with any bytes and of any length neither end a process nor lose a turn", "[platform]")
{
    Fixture it;
    const std::vector<std::string> ids = {"t\xff"
                                          "1",
                                          "a b",
                                          "100%/x",
                                          std::string(400, 'y'),
                                          "\xf0\x28"};
    for (const std::string &id : ids) {
        const std::string lines = "X-Program-Id: p" + id + "\r\nX-Token-Budget: 2900\r\nX-Token-Usage: 100,200\r\n";
        INFO(id);
        CHECK(it.instance->send(callerRequest("/chat/a", id, lines, "hello ")).status == 200);
    }
    CHECK(eventually([&] { return it.store.keys(TurnKeyPrefix).size() == ids.size(); }));
    it.first.process().kill();
    it.second.process().kill();
    it.first.wipeDisk();
    it.second.wipeDisk();
    it.instance->killAndRestart();
    it.first.start();
    it.second.start();
    REQUIRE(it.instance->awaitReady());
    for (const std::string &id : ids) {
        INFO(id);
        CHECK(eventually([&] { return it.instance->send(callerRequest("/chat/a", "n" + id, "X-Previous-Turn: " + id + "\r\n", "again")).status == 200; }));
    }
}

// Guards against an odd record that holds up the others, or ends the archive at each start.
TEST_CASE("An archive sets a record aside that it can't read, and uploads the rest", "[platform]")
{
    Fixture it;
    it.store.setFault(KvStandIn::Fault::Unavailable);
    for (const std::string id : {"u1", "u2", "u3"}) {
        REQUIRE(it.instance->send(turnRequest(id, {}, "hello ")).isComplete);
    }
    it.first.process().kill();
    it.second.process().kill();
    it.first.spoilFirstRecord();
    it.second.wipeDisk();
    it.store.setFault(KvStandIn::Fault::None);
    it.first.start();
    CHECK(eventually([&] { return it.store.keys(TurnKeyPrefix).size() == 2; }));
    CHECK(it.first.process().isRunning());
}

TEST_CASE("Archives upload turns to the store in batches", "[platform]")
{
    Fixture it;
    constexpr int Turns = 20;
    const int before = it.store.commitCount();
    for (int n = 0; n < Turns; ++n) {
        CHECK(it.instance->send(turnRequest("b" + std::to_string(n), {}, "x")).isComplete);
    }
    CHECK(eventually([&] { return it.store.keys(TurnKeyPrefix).size() == Turns; }));
    CHECK(it.store.commitCount() - before < Turns / 2);
}

TEST_CASE("A retiring archive uploads all its turns before it reports completion", "[platform]")
{
    Fixture it;
    for (int n = 0; n < 5; ++n) {
        CHECK(it.instance->send(turnRequest("c" + std::to_string(n), {}, "x")).isComplete);
    }
    it.store.put("op/retire/" + it.first.name(), R"({"deadline-s":10})");
    REQUIRE(eventually([&] { return it.store.get("status/retire/" + it.first.name()).find("completed") != std::string::npos; }));
    it.first.process().kill();
    it.second.process().kill();
    CHECK(it.store.keys(TurnKeyPrefix).size() == 5);
    // With only one archive left, a turn is saved in the store directly.
    CHECK(it.instance->send(turnRequest("d1", "c4", "y")).isComplete);
    CHECK(it.isInStore("d1"));
}

TEST_CASE("A turn that is moved to the store during its lookup is found", "[platform]")
{
    KvStandIn store;
    ScriptedEndpoint endpoint(respondWithEvent);
    const TurnRecord kept{RequestId("t1"), {}, "hello ", "said\n", Milliseconds(60000)};
    ScriptedEndpoint archive([&](Connection &connection, const ReceivedRequest &) {
        store.put(std::string(TurnKeyPrefix) + "t1", kept.encode());
        connection.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    });
    registerArchive(store, "storage-9", "z", archive.address());
    store.put("op/config", testConfiguration(1));
    registerEndpoint(store, "i-1", endpoint);
    TestInstance instance(store, 1);
    REQUIRE(instance.awaitReady());
    REQUIRE(eventually([&] { return instance.log().find("prefix=instance/") != std::string::npos; }));
    CHECK(instance.send(turnRequest("t2", "t1", "x")).status == 200);
}

TEST_CASE("A turn is not reported as unknown while an archive doesn't respond", "[platform]")
{
    Fixture it;
    it.first.process().kill();
    CHECK(it.instance->send(turnRequest("e1", "no-such-turn", "x")).status == 503);
    it.first.start();
    CHECK(eventually([&] { return it.instance->send(turnRequest("e2", "no-such-turn", "x")).status == 404; }));
}

// Guards against an archive that counts as gone after a tenth of a second, when the store can't take its place.
TEST_CASE("A turn that an archive confirms late is kept during a store outage", "[platform]")
{
    constexpr Milliseconds Delay{300};
    KvStandIn store;
    ScriptedEndpoint endpoint(respondWithEvent);
    const auto confirm = [](Connection &connection, const ReceivedRequest &) { connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"); };
    ScriptedEndpoint prompt(confirm);
    ScriptedEndpoint slow(
        [&](Connection &connection, const ReceivedRequest &) { connection.writeLater(Delay, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"); });
    registerArchive(store, "storage-7", "y", prompt.address());
    registerArchive(store, "storage-8", "z", slow.address());
    store.put("op/config", testConfiguration(1));
    registerEndpoint(store, "i-1", endpoint);
    const TestInstance instance(store, 1);
    REQUIRE(instance.awaitReady());
    REQUIRE(eventually([&] { return instance.log().find("listed prefix=instance/") != std::string::npos; }));
    store.setFault(KvStandIn::Fault::Unavailable);
    for (int n = 0; n < 4; ++n) {
        CHECK(instance.send(turnRequest("l" + std::to_string(n), {}, "x")).isComplete);
    }
}

// A turn counts as kept only by archives that have confirmed it, in two failure domains.
TEST_CASE("A turn that only one archive confirms is not reported as kept during a store outage", "[platform]")
{
    KvStandIn store;
    ScriptedEndpoint endpoint(respondWithEvent);
    ScriptedEndpoint prompt([](Connection &connection, const ReceivedRequest &) { connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"); });
    ScriptedEndpoint silent([](Connection &, const ReceivedRequest &) {});
    registerArchive(store, "storage-6", "y", prompt.address());
    registerArchive(store, "storage-7", "y", prompt.address());
    registerArchive(store, "storage-8", "z", silent.address());
    store.put("op/config", testConfiguration(1));
    registerEndpoint(store, "i-1", endpoint);
    const TestInstance instance(store, 1);
    REQUIRE(instance.awaitReady());
    REQUIRE(eventually([&] { return instance.log().find("listed prefix=instance/") != std::string::npos; }));
    store.setFault(KvStandIn::Fault::Unavailable);
    for (int n = 0; n < 3; ++n) {
        CHECK_FALSE(instance.send(turnRequest("o" + std::to_string(n), {}, "x")).isComplete);
    }
}

// Guards against an archive that counts twice because it took the address of a lost one, whose entry is still in the store.
TEST_CASE("A replaced archive at the same address doesn't count as a second replica", "[platform]")
{
    constexpr int ToleratedMachines = 2;
    KvStandIn store;
    ScriptedEndpoint endpoint(respondWithEvent);
    const auto confirm = [](Connection &connection, const ReceivedRequest &) { connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"); };
    ScriptedEndpoint replaced(confirm);
    ScriptedEndpoint other(confirm);
    registerArchive(store, "storage-5", "y", replaced.address());
    registerArchive(store, "storage-6", "y", replaced.address());
    registerArchive(store, "storage-7", "z", other.address());
    store.put("op/config", testConfiguration(1));
    registerEndpoint(store, "i-1", endpoint);
    const TestInstance instance(store, 1, ToleratedMachines);
    REQUIRE(instance.awaitReady());
    REQUIRE(eventually([&] { return instance.log().find("listed prefix=instance/") != std::string::npos; }));
    store.setFault(KvStandIn::Fault::Unavailable);
    for (int n = 0; n < 3; ++n) {
        CHECK_FALSE(instance.send(turnRequest("r" + std::to_string(n), {}, "x")).isComplete);
    }
}
