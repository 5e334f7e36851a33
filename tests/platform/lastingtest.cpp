#include "core/loopthread.h"
#include "instance/registrywatcher.h"
#include "lasting/archivedturnstore.h"
#include "lasting/sweeper.h"
#include "platform/testinstance.h"

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <atomic>
#include <future>
#include <thread>

using namespace flamingo;

namespace
{
constexpr Milliseconds GoneAfter{200};
constexpr Milliseconds ForgottenAfter{600};

FleetMember archiveOf(const std::string &name, const std::string &life)
{
    return {InstanceId(name), DomainId("zone-1"), {"127.0.0.1", 1}, HolderId(life), FleetMember::Role::Archive};
}

/// The lasting stores before the store's stand-in, on a loop of their own.
struct Fixture {
    ~Fixture()
    {
        loop.stop();
    }

    TurnLookup load(const std::string &id)
    {
        std::promise<TurnLookup> result;
        asio::post(loop.loop.context(), [&] { archived.load(RequestId(id), [&](const TurnLookup &lookup) { result.set_value(lookup); }); });
        return result.get_future().get();
    }

    void sweep(Milliseconds retention = Milliseconds(0))
    {
        loop.call([this, retention] {
            sweeper.sweep(std::chrono::steady_clock::now(), retention);
            return true;
        });
    }

    /// Sweeps until the store holds so many keys with the prefix.
    bool sweepUntil(const std::string &prefix, std::size_t keys)
    {
        return eventually([&] {
            sweep();
            return store.keys(prefix).size() == keys;
        });
    }

    KvStandin store;
    LoopThread loop;
    Metrics metrics;
    platform::PlatformStore client{loop.loop.context(), store.address(), metrics};
    Fleet fleet{InstanceId("edge-1"), DomainId("zone-1")};
    LinkPool links{loop.loop.context(), {}};
    PlatformTurnStore turns{client, HolderId("life-1")};
    ArchivedTurnStore archived{loop.loop.context(), fleet, links, client, turns, 1};
    Sweeper sweeper{client, {GoneAfter, ForgottenAfter, ForgottenAfter * 2, Milliseconds(5000)}};
};
} // namespace

TEST_CASE_METHOD(Fixture, "A turn isn't absent while the store lists an archive that this instance doesn't know", "[platform]")
{
    loop.call([this] {
        fleet.setLoaded();
        return true;
    });
    CHECK(load("t1").status == TurnLookup::Status::Absent);
    store.put(Fleet::KeyPrefix + std::string("storage-9"), archiveOf("storage-9", "life-9").encode());
    CHECK(load("t1").status == TurnLookup::Status::Unsure);
}

TEST_CASE_METHOD(Fixture, "A member without a sign of life is marked as gone and forgotten later, one that gives signs stays", "[platform]")
{
    const std::string dead = Fleet::KeyPrefix + std::string("storage-1");
    const std::string live = Fleet::KeyPrefix + std::string("storage-2");
    store.put(dead, archiveOf("storage-1", "life-a").encode());
    store.put(live, archiveOf("storage-2", "life-b").encode());
    const std::string sign = FleetSweep::SignPrefix + std::string("storage-2");
    REQUIRE(eventually([&] {
        store.put(sign, "here");
        sweep();
        return store.get(dead).find("\"gone\":true") != std::string::npos;
    }));
    CHECK(eventually([&] {
        store.put(sign, "here");
        sweep();
        return store.get(dead).empty();
    }));
    CHECK(store.get(live).find("\"gone\":false") != std::string::npos);
}

TEST_CASE_METHOD(Fixture, "Budgets and turns go with the lives that held them, not before", "[platform]")
{
    store.put(Fleet::KeyPrefix + std::string("edge-2"), archiveOf("edge-2", "life-2").encode());
    BudgetRecord record;
    record.budget = Tokens(100);
    record.granted = {{HolderId("over"), Tokens(50)}, {HolderId("life-2"), Tokens(25)}};
    store.put("budget/shared", record.encode());
    record.granted = {{HolderId("over"), Tokens(50)}};
    store.put("budget/left", record.encode());
    store.put("turn/t1", "x");
    store.put("turn/t2", "x");
    store.put(std::string(TurnIndex::KeyPrefix) + "over/1", TurnIndex{HolderId("over"), {RequestId("t1")}}.encode());
    store.put(std::string(TurnIndex::KeyPrefix) + "life-2/1", TurnIndex{HolderId("life-2"), {RequestId("t2")}}.encode());
    sweep();
    CHECK(store.keys("budget/").size() == 2);
    CHECK(sweepUntil("budget/", 1));
    CHECK(sweepUntil("turn/", 1));
    CHECK(store.get("budget/shared") != "");
    CHECK(store.get("turn/t2") == "x");
    CHECK(store.keys(TurnIndex::KeyPrefix).size() == 1);
}

TEST_CASE_METHOD(Fixture, "What may still be continued is not swept, however long the retention is", "[platform]")
{
    store.put("turn/t1", "x");
    store.put(std::string(TurnIndex::KeyPrefix) + "over/1", TurnIndex{HolderId("over"), {RequestId("t1")}}.encode());
    const Instant end = std::chrono::steady_clock::now() + GoneAfter * 5;
    while (std::chrono::steady_clock::now() < end) {
        sweep(GoneAfter * 10);
        std::this_thread::sleep_for(Milliseconds(20));
    }
    CHECK(store.get("turn/t1") == "x");
}

// What an instance does on a change of the endpoints grows with their number, so done for each of them it would be the square.
TEST_CASE_METHOD(Fixture, "Endpoints that come together are taken in together", "[platform]")
{
    constexpr std::size_t Endpoints = 300;
    RouteTable routes;
    EndpointDirectory directory;
    std::atomic<int> refreshes{0};
    RegistryWatcher feed(client, loop.loop.timers(), routes, directory, fleet, {[&] { ++refreshes; }, [] {}, [] {}});
    loop.call([&] {
        feed.start();
        return true;
    });
    const auto known = [&] { return loop.call([&] { return directory.all().size(); }); };
    for (std::size_t n = 0; n < Endpoints; ++n) {
        store.put(fmt::format("servers/i-{}", n),
                  R"({"service":"app","address":"127.0.0.1:1","zone":"z","version":"v1","slots":1,"state":"ready","cold-left-ms":0,"sequence":1})");
    }
    CHECK(eventually([&] { return known() == Endpoints; }));
    CHECK(refreshes < static_cast<int>(Endpoints) / 10);
    loop.stop();
}
