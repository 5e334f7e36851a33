#include "core/loopthread.h"
#include "instance/instanceregistration.h"
#include "instance/registrywatcher.h"
#include "persistence/garbagecollector.h"
#include "persistence/replicatedturnstore.h"
#include "persistence/splitrecord.h"
#include "platform/testinstance.h"
#include "serving/budgetledger.h"

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <atomic>
#include <future>
#include <thread>

using namespace flamingo;

namespace
{
constexpr Milliseconds DeadAfter{200};
constexpr std::size_t MaxValueBytes = 1048576;
constexpr Milliseconds RemoveAfter{600};

MemberRecord archiveRecord(const std::string &name, const std::string &incarnation)
{
    return {InstanceId(name), DomainId("zone-1"), {"127.0.0.1", 1}, IncarnationId(incarnation), MemberRecord::Role::Archive};
}

/// The stores in front of a simulated platform store, on an event loop of their own.
struct Fixture {
    ~Fixture()
    {
        loop.stop();
    }

    TurnLookup load(const std::string &id)
    {
        std::promise<TurnLookup> result;
        asio::post(loop.loop.context(), [&] { replicated.load(RequestId(id), [&](const TurnLookup &lookup) { result.set_value(lookup); }); });
        return result.get_future().get();
    }

    void collect(Milliseconds retention = Milliseconds(0))
    {
        loop.call([this, retention] {
            collector.collect(std::chrono::steady_clock::now(), retention);
            return true;
        });
    }

    /// Runs passes until the store holds this number of keys with the prefix.
    bool collectUntil(const std::string &prefix, std::size_t keys)
    {
        return eventually([&] {
            collect();
            return store.keys(prefix).size() == keys;
        });
    }

    KvStandIn store;
    LoopThread loop;
    Metrics metrics;
    platform::PlatformStore client{loop.loop.context(), store.address(), metrics};
    MemberDirectory members{InstanceId("edge-1"), DomainId("zone-1")};
    ConnectionPool links{loop.loop.context(), {}};
    PlatformTurnStore turns{client, IncarnationId("start-1"), MaxValueBytes};
    ReplicatedTurnStore replicated{loop.loop.context(), members, links, client, turns, 1};
    GarbageCollector collector{client, {DeadAfter, RemoveAfter, RemoveAfter * 2, Milliseconds(5000)}};
};
} // namespace

TEST_CASE_METHOD(Fixture, "A turn isn't reported as absent while the store lists an archive that was not queried", "[platform]")
{
    loop.call([this] {
        members.setLoaded();
        return true;
    });
    CHECK(load("t1").status == TurnLookup::Status::Absent);
    store.put(MemberDirectory::KeyPrefix + std::string("storage-9"), archiveRecord("storage-9", "start-9").encode());
    CHECK(load("t1").status == TurnLookup::Status::Unknown);
}

// Guards against a heartbeat that arrives late and names an incarnation whose marks for provisional grants no longer tell enough.
TEST_CASE_METHOD(Fixture, "An earlier incarnation doesn't overwrite the heartbeat of a later one", "[platform]")
{
    struct Registered {
        Registered(Fixture &fixture, const std::string &incarnation, const SocketAddress &address)
            : policy(fixture.members, std::chrono::steady_clock::now())
            , registration({InstanceId("edge-1"), DomainId("zone-1"), address, IncarnationId(incarnation)},
                           fixture.client,
                           fixture.loop.loop.timers(),
                           fixture.members,
                           policy,
                           {[this] { return history; },
                            [this](GrantHistory it, bool hasEnded) {
                                history = std::move(it);
                                hasEarlierEnded = hasEnded;
                            },
                            [] {},
                            [](bool, const std::optional<MemberRecord> &) {}})
        {
            history.own.incarnation = IncarnationId(incarnation);
        }

        ProvisionalGrantPolicy policy;
        GrantHistory history;
        bool hasEarlierEnded = false;
        InstanceRegistration registration;
    };
    const std::string heartbeatKey = LivenessTracker::HeartbeatPrefix + std::string("edge-1");
    const auto writer = [&] {
        const auto history = GrantHistory::decode(store.get(heartbeatKey));
        return history ? history->own.incarnation.value() : std::string();
    };
    const auto sendHeartbeat = [&](Registered &it) {
        std::promise<bool> result;
        asio::post(loop.loop.context(),
                   [&] { it.registration.sendHeartbeat([&](std::optional<MemberListRevision> revision) { result.set_value(revision.has_value()); }); });
        return result.get_future().get();
    };
    const auto start = [&](Registered &it) {
        loop.call([&] {
            it.registration.start();
            return true;
        });
    };
    Registered first(*this, "first", {"127.0.0.1", 1});
    Registered second(*this, "second", {"127.0.0.1", 2});
    start(first);
    REQUIRE(eventually([&] { return writer() == "first"; }));
    CHECK(eventually([&] { return sendHeartbeat(first); }));
    start(second);
    REQUIRE(eventually([&] { return writer() == "second"; }));
    CHECK_FALSE(sendHeartbeat(first));
    CHECK(writer() == "second");
    CHECK(eventually([&] { return sendHeartbeat(second); }));
    CHECK(second.history.earlier.size() == 1);
    CHECK_FALSE(second.hasEarlierEnded); // It may still run at its own address.
    loop.stop();
}

// Guards against homes of limits that wait for a minute at their second restart.
TEST_CASE_METHOD(Fixture, "An entry tells since when it has been listed, over restarts that leave no gap", "[platform]")
{
    const SocketAddress address{"127.0.0.1", 1};
    const auto listedSince = [&](const std::string &incarnation) {
        MemberDirectory ownMembers{InstanceId("edge-1"), DomainId("zone-1")};
        ProvisionalGrantPolicy policy(ownMembers, std::chrono::steady_clock::now());
        GrantHistory history;
        std::atomic<bool> isRegistered{false};
        InstanceRegistration registration(
            {InstanceId("edge-1"), DomainId("zone-1"), address, IncarnationId(incarnation)},
            client,
            loop.loop.timers(),
            ownMembers,
            policy,
            {[&] { return history; }, [](const GrantHistory &, bool) {}, [] {}, [&](bool, const std::optional<MemberRecord> &) { isRegistered = true; }});
        loop.call([&] {
            registration.start();
            return true;
        });
        CHECK(eventually([&] { return isRegistered.load(); }));
        const auto record = MemberRecord::decode(InstanceId("edge-1"), store.get(MemberDirectory::KeyPrefix + std::string("edge-1")));
        return record ? record->listedSinceMs : 0;
    };
    CHECK(listedSince("edge-1:1000:1") == 0x1000);
    CHECK(listedSince("edge-1:2000:2") == 0x1000);
    CHECK(listedSince("edge-1:3000:3") == 0x1000);
    auto dead = *MemberRecord::decode(InstanceId("edge-1"), store.get(MemberDirectory::KeyPrefix + std::string("edge-1")));
    dead.isPresumedDead = true;
    store.put(MemberDirectory::KeyPrefix + std::string("edge-1"), dead.encode());
    CHECK(listedSince("edge-1:4000:4") == 0x4000);
    loop.stop();
}

TEST_CASE_METHOD(Fixture, "A member without heartbeats is marked as dead, then removed; one with heartbeats stays", "[platform]")
{
    const std::string dead = MemberDirectory::KeyPrefix + std::string("storage-1");
    const std::string live = MemberDirectory::KeyPrefix + std::string("storage-2");
    store.put(dead, archiveRecord("storage-1", "start-a").encode());
    store.put(live, archiveRecord("storage-2", "start-b").encode());
    const std::string heartbeat = LivenessTracker::HeartbeatPrefix + std::string("storage-2");
    REQUIRE(eventually([&] {
        store.put(heartbeat, "here");
        collect();
        return store.get(dead).find("\"gone\":true") != std::string::npos;
    }));
    CHECK(eventually([&] {
        store.put(heartbeat, "here");
        collect();
        return store.get(dead).empty();
    }));
    CHECK(store.get(live).find("\"gone\":false") != std::string::npos);
}

TEST_CASE_METHOD(Fixture, "Budgets and turns are removed after the incarnations that held them are dead, not before", "[platform]")
{
    store.put(MemberDirectory::KeyPrefix + std::string("edge-2"), archiveRecord("edge-2", "start-2").encode());
    BudgetRecord record;
    record.budget = Tokens(100);
    record.granted = {{IncarnationId("dead"), Tokens(50)}, {IncarnationId("start-2"), Tokens(25)}};
    store.put("budget/shared", record.encode());
    record.granted = {{IncarnationId("dead"), Tokens(50)}};
    store.put("budget/left", record.encode());
    store.put("turn/t1", "x");
    store.put("turn/t2", "x");
    store.put(std::string(TurnIndex::KeyPrefix) + "dead/1", TurnIndex{IncarnationId("dead"), {StoredId("t1")}, {StoredId("t1")}, {0}}.encode());
    store.put(std::string(TurnIndex::KeyPrefix) + "start-2/1", TurnIndex{IncarnationId("start-2"), {StoredId("t2")}, {StoredId("t2")}, {0}}.encode());
    collect();
    CHECK(store.keys("budget/").size() == 2);
    CHECK(collectUntil("budget/", 1));
    CHECK(collectUntil("turn/", 1));
    CHECK(store.get("budget/shared") != "");
    CHECK(store.get("turn/t2") == "x");
    CHECK(store.keys(TurnIndex::KeyPrefix).size() == 1);
}

TEST_CASE_METHOD(Fixture, "Turns within their retention are not collected, however long the retention is", "[platform]")
{
    store.put("turn/t1", "x");
    store.put(std::string(TurnIndex::KeyPrefix) + "dead/1", TurnIndex{IncarnationId("dead"), {StoredId("t1")}, {StoredId("t1")}, {0}}.encode());
    const Instant end = std::chrono::steady_clock::now() + DeadAfter * 5;
    while (std::chrono::steady_clock::now() < end) {
        collect(DeadAfter * 10);
        std::this_thread::sleep_for(Milliseconds(20));
    }
    CHECK(store.get("turn/t1") == "x");
}

// Guards against a long turn of which only some parts can be read being taken for a turn that doesn't exist.
TEST_CASE_METHOD(Fixture, "A turn in parts is read as a whole or not at all, and removed with all its parts", "[platform]")
{
    constexpr std::size_t SmallValue = 1000;
    constexpr Milliseconds Retention{100};
    constexpr Milliseconds ConfirmationDelay{50};
    PlatformTurnStore keeper{client, IncarnationId("start-2"), SmallValue, ConfirmationDelay};
    const auto record = std::make_shared<TurnRecord>();
    record->id = RequestId("t/1");
    record->input = std::string(30000, 'i');
    record->output = std::string(20000, 'o');
    record->retention = Retention;
    std::promise<bool> isSaved;
    asio::post(loop.loop.context(), [&] { keeper.save(record, [&](bool it) { isSaved.set_value(it); }); });
    REQUIRE(isSaved.get_future().get());
    const TurnLookup whole = load("t/1");
    REQUIRE(whole.status == TurnLookup::Status::Found);
    CHECK(whole.turn->input == record->input);
    CHECK(whole.turn->output == record->output);
    const std::string part = store.get(turnPartKey(storedId("t/1"), 3));
    CHECK(part.size() <= SmallValue);
    store.remove(turnPartKey(storedId("t/1"), 3));
    CHECK(load("t/1").status == TurnLookup::Status::Unknown);
    CHECK(eventually([&] {
        loop.call([&] {
            keeper.removeExpired(std::chrono::steady_clock::now());
            return true;
        });
        return store.keys("turn").empty();
    }));
    loop.stop();
}

// Guards against a conversation that loses its first turns while it goes on: each was removed after twice its own retention.
TEST_CASE_METHOD(Fixture, "The turns of a conversation are kept as long as it goes on, and removed afterwards", "[platform]")
{
    constexpr Milliseconds Retention{400};
    constexpr Milliseconds TurnPeriod{100};
    constexpr Milliseconds ConfirmationDelay{100};
    constexpr std::size_t Turns = 30;
    PlatformTurnStore keeper{client, IncarnationId("start-2"), MaxValueBytes, ConfirmationDelay};
    TurnCache cache(keeper, 100000);
    std::vector<RequestId> ids;
    const auto takeTurn = [&](const std::string &id, bool continues) {
        auto record = std::make_shared<TurnRecord>();
        record->id = RequestId(id);
        record->retention = Retention;
        std::promise<bool> isSaved;
        const auto save = [&](const TurnChain &history) {
            record->continueFrom(history, Milliseconds(0));
            keeper.save(record, [&](bool it) { isSaved.set_value(it); });
            cache.add(record, std::chrono::steady_clock::now());
        };
        asio::post(loop.loop.context(), [&] {
            keeper.removeExpired(std::chrono::steady_clock::now());
            continues ? cache.loadChain(ids.back(), std::nullopt, std::chrono::steady_clock::now(), save) : save({});
        });
        return isSaved.get_future().get();
    };
    REQUIRE(takeTurn("short", false));
    for (std::size_t n = 0; n < Turns; ++n) {
        REQUIRE(takeTurn("t" + std::to_string(n), n > 0));
        ids.emplace_back("t" + std::to_string(n));
        std::this_thread::sleep_for(TurnPeriod);
    }
    const std::vector<std::string> kept = store.keys("turn/");
    CHECK(kept.size() == Turns);
    CHECK(store.get("turn/short").empty());
    CHECK(store.keys(RenewalKeyPrefix).size() == 1);
    CHECK(eventually([&] {
        loop.call([&] {
            keeper.removeExpired(std::chrono::steady_clock::now());
            return true;
        });
        return store.keys("turn/").empty() && store.keys(RenewalKeyPrefix).empty() && store.keys(TurnIndex::KeyPrefix).empty();
    }));
    loop.stop();
}

// Guards against the same loss where the writer of the first turns is gone.
TEST_CASE_METHOD(Fixture, "Turns of a dead writer are kept as long as their conversation goes on", "[platform]")
{
    store.put("turn/t1", "x");
    store.put(std::string(TurnIndex::KeyPrefix) + "dead/1", TurnIndex{IncarnationId("dead"), {StoredId("t1")}, {StoredId("t1")}, {0}}.encode());
    const std::string renewal = std::string(RenewalKeyPrefix) + "t1";
    const Instant end = std::chrono::steady_clock::now() + DeadAfter * 5;
    while (std::chrono::steady_clock::now() < end) {
        store.put(renewal, "100");
        collect();
        std::this_thread::sleep_for(Milliseconds(20));
    }
    CHECK(store.get("turn/t1") == "x");
    CHECK(collectUntil("turn/", 0));
    CHECK(collectUntil(RenewalKeyPrefix, 0));
}

// Handling a change takes time proportional to the number of endpoints, so handling each of many simultaneous changes alone
// would take quadratic time.
TEST_CASE_METHOD(Fixture, "Endpoints that register together are handled together", "[platform]")
{
    constexpr std::size_t Endpoints = 300;
    RouteTable routes;
    EndpointDirectory directory;
    std::atomic<int> refreshes{0};
    ConnectionPool peerConnections(loop.loop.context(), ConnectionPool::Settings());
    ConfigurationAge age{std::nullopt};
    RegistryWatcher watcher(client,
                            {loop.loop.context(), peerConnections, 3},
                            loop.loop.timers(),
                            routes,
                            directory,
                            members,
                            age,
                            {[&] { ++refreshes; }, [](const EndpointEntry &) {}, [] {}, [] {}, [](Instant) {}});
    loop.call([&] {
        watcher.start();
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
