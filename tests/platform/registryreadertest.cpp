#include "instance/registrylog.h"
#include "platform/recordcodec.h"
#include "platform/testinstance.h"
#include "serving/registryreaders.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <thread>

using namespace flamingo;

// In each failure domain a few instances read the registry from the store, and the others ask them. Nothing that can happen to the
// readers may keep the others from learning a change within the time that a configuration may take.

namespace
{
constexpr Milliseconds ConfigurationLimit{4000};
constexpr std::size_t ReadersPerDomain = 3;
constexpr int InstanceCount = 6;
constexpr const char *WatchCalls = R"(flamingo_store_calls_total{call="watch"})";

constexpr const char *AddedRoute = R"(,{"name":"r-new","host":"h.example","prefix":"/new/","type":"idempotent","timeout-ms":3000,"service":"app"})";

platform::StoreItem item(const std::string &key, platform::Revision revision)
{
    return {key, "value of " + key, revision, revision};
}

RegistryPoll pollAfter(platform::Revision revision)
{
    RegistryPoll poll;
    poll.after = revision;
    return poll;
}

void respondOk(ScriptedEndpoint::Connection &connection, const ReceivedRequest &request)
{
    connection.write(ScriptedEndpoint::response(request, "ok"));
}

bool servesAddedRoute(const TestInstance &instance)
{
    static int n = 0;
    return instance.send(callerRequest("/new/a", fmt::format("new{}", ++n))).status == 200;
}

/// The readers and the other instances of one failure domain.
struct OneDomain {
    OneDomain()
        : endpoint(respondOk)
    {
        store.put("op/config", testConfiguration(1));
        registerEndpoint(store, "i-1", endpoint);
        for (int n = 1; n <= InstanceCount; ++n) {
            instances.push_back(std::make_unique<TestInstance>(store.address(), n, 1, "one"));
        }
        REQUIRE(eventually([&] { return findFollowers(); }));
        // Until all have got the whole member list and poll.
        std::this_thread::sleep_for(Milliseconds(2500));
        REQUIRE(findFollowers());
    }

    bool findFollowers()
    {
        readers.clear();
        followers.clear();
        for (const auto &it : instances) {
            const std::string log = it->log();
            const auto at = log.rfind("event=registry-role is_reader=");
            const bool isFollower = at != std::string::npos && log.compare(at, 35, "event=registry-role is_reader=false") == 0;
            (isFollower ? followers : readers).push_back(it.get());
        }
        return readers.size() == ReadersPerDomain && followers.size() == InstanceCount - ReadersPerDomain;
    }

    bool allFollowersServeAddedRoute(Milliseconds limit = ConfigurationLimit) const
    {
        return eventually([&] { return std::all_of(followers.begin(), followers.end(), [](const TestInstance *it) { return servesAddedRoute(*it); }); }, limit);
    }

    KvStandIn store;
    ScriptedEndpoint endpoint;
    std::vector<std::unique_ptr<TestInstance>> instances;
    std::vector<TestInstance *> readers;
    std::vector<TestInstance *> followers;
};
} // namespace

TEST_CASE("A registry log responds with what its reader doesn't know yet, and with all keys where it doesn't know the changes", "[platform][readers]")
{
    const Instant start{};
    RegistryLog log;
    CHECK_FALSE(log.respondNow(pollAfter(5), start).isFromReader);
    log.restart({item("a", 3), item("b", 9)}, 10, start);
    CHECK_FALSE(log.respond(pollAfter(10), start));
    const auto listing = log.respond(pollAfter(9), start);
    REQUIRE(listing);
    CHECK(listing->isListing);
    CHECK(listing->items.size() == 2);
    platform::StoreItem removal;
    removal.key = "a";
    removal.modRevision = 12;
    log.append({{removal, item("c", 13)}, 15}, start + Milliseconds(100));
    const auto changes = log.respond(pollAfter(12), start + Milliseconds(400));
    REQUIRE(changes);
    CHECK_FALSE(changes->isListing);
    REQUIRE(changes->items.size() == 1);
    CHECK(changes->items[0].key == "c");
    CHECK(changes->revision == 15);
    CHECK(changes->age == Milliseconds(300));
    CHECK(log.respond(pollAfter(1), start)->items.size() == 2); // b and c
    // A sender that is ahead gets nothing older.
    CHECK(log.respondNow(pollAfter(20), start).items.empty());
    log.setStoreUnavailable(true);
    CHECK(log.respond(pollAfter(15), start)->isStoreUnavailable);
}

// Guards against instances that run out of memory, or whose readers' answers are too large for them, by changes of a large configuration.
TEST_CASE("A registry log does not grow with the versions of a key", "[platform][readers]")
{
    constexpr std::size_t ValueBytes = 600000;
    const Instant start{};
    RegistryLog log;
    log.restart({item("op/config", 3), item("op/retire/a", 4)}, 10, start);
    for (platform::Revision revision = 11; revision < 211; ++revision) {
        platform::StoreItem version = item("op/config", revision);
        version.data.assign(ValueBytes, static_cast<char>('a' + revision % 20));
        log.append({{version}, revision}, start);
    }
    platform::StoreItem removal;
    removal.key = "op/retire/a";
    removal.modRevision = 211;
    log.append({{removal}, 211}, start);
    const auto update = log.respond(pollAfter(12), start);
    REQUIRE(update);
    CHECK_FALSE(update->isListing);
    REQUIRE(update->items.size() == 2);
    CHECK(update->items[0].modRevision == 210);
    CHECK(update->items[1].key == "op/retire/a");
    CHECK(update->items[1].revision == 0);
    CHECK(update->encode().size() < 2 * ValueBytes);
    // A key that is back counts as present only.
    log.append({{item("op/retire/a", 212)}, 212}, start);
    const auto last = log.respond(pollAfter(210), start);
    REQUIRE(last);
    REQUIRE(last->items.size() == 1);
    CHECK(last->items[0].revision == 212);
}

TEST_CASE("Instances agree on few readers in each domain, and share them evenly", "[platform][readers]")
{
    constexpr int InstancesPerDomain = 40;
    constexpr int Domains = 5;
    std::map<InstanceId, int> followersOf;
    int readerCount = 0;
    for (int n = 0; n < InstancesPerDomain; ++n) {
        MemberDirectory members(InstanceId(fmt::format("e-0-{}", n)), DomainId("d-0"));
        for (int k = 0; k < InstancesPerDomain * Domains; ++k) {
            const InstanceId id(fmt::format("e-{}-{}", k % Domains, k / Domains));
            members.put({id, DomainId(fmt::format("d-{}", k % Domains)), {"127.0.0.1", 1}, IncarnationId(id.value())});
        }
        RegistryReaders readers(members, ReadersPerDomain);
        readers.refresh();
        CHECK(readers.readerCount() == ReadersPerDomain * Domains);
        readerCount += readers.isReader() ? 1 : 0;
        const Instant now = std::chrono::steady_clock::now();
        if (const auto chosen = readers.choose(now)) {
            CHECK(chosen->domain == DomainId("d-0"));
            ++followersOf[chosen->id];
            // Without an answer the next one is asked, and then the store.
            readers.onFailure(chosen->id, now);
            const auto second = readers.choose(now);
            REQUIRE(second);
            CHECK(second->id != chosen->id);
            readers.onFailure(second->id, now);
            readers.onFailure(readers.choose(now)->id, now);
            CHECK_FALSE(readers.choose(now));
            CHECK(readers.choose(now + Milliseconds(10000))->id == chosen->id);
        }
    }
    CHECK(readerCount == ReadersPerDomain);
    CHECK(followersOf.size() == ReadersPerDomain);
    for (const auto &[id, count] : followersOf) {
        CHECK(count < InstancesPerDomain / 2);
    }
}

TEST_CASE_METHOD(OneDomain, "Instances that don't read the store learn of many changes without a call to it", "[platform][readers]")
{
    std::vector<double> callsBefore;
    for (const TestInstance *it : followers) {
        callsBefore.push_back(it->metric(WatchCalls));
    }
    for (int n = 0; n < 20; ++n) {
        registerEndpoint(store, "i-2", endpoint, n % 2 == 0 ? "ready" : "draining");
        std::this_thread::sleep_for(Milliseconds(100));
    }
    store.put("op/config", testConfiguration(2, AddedRoute));
    CHECK(allFollowersServeAddedRoute(Milliseconds(2000)));
    for (std::size_t n = 0; n < followers.size(); ++n) {
        CHECK(followers[n]->metric(WatchCalls) == callsBefore[n]);
    }
}

TEST_CASE_METHOD(OneDomain, "The loss of all readers delays a configuration by no more than it may take", "[platform][readers]")
{
    for (TestInstance *it : readers) {
        it->process().kill();
    }
    store.put("op/config", testConfiguration(2, AddedRoute));
    CHECK(allFollowersServeAddedRoute());
}

TEST_CASE_METHOD(OneDomain, "Paused readers delay a configuration by no more than it may take, and bring back no older one", "[platform][readers]")
{
    for (TestInstance *it : readers) {
        it->process().sendSignal(SIGSTOP);
    }
    store.put("op/config", testConfiguration(2, AddedRoute));
    CHECK(allFollowersServeAddedRoute());
    for (TestInstance *it : readers) {
        it->process().sendSignal(SIGCONT);
    }
    for (int n = 0; n < 20; ++n) {
        CHECK(allFollowersServeAddedRoute(Milliseconds(0)));
        std::this_thread::sleep_for(Milliseconds(100));
    }
    for (const auto &it : instances) {
        CHECK(eventually([&] { return servesAddedRoute(*it); }, ConfigurationLimit));
    }
}

// Guards against the time limits of polls that add up: each reader was given as long as one that is silent because nothing changes.
TEST_CASE("Readers that freeze just when they are polled delay a configuration by no more than it may take", "[platform][readers]")
{
    ScriptedEndpoint endpoint(respondOk);
    KvStandIn store;
    std::atomic<bool> isPolled{false};
    ScriptedEndpoint frozenReader([&](ScriptedEndpoint::Connection &, const ReceivedRequest &request) {
        const auto poll = RegistryPoll::decode(request.body);
        if (poll && poll->prefix == platform::OperatorPrefix && !isPolled.exchange(true)) {
            store.put("op/config", testConfiguration(2, AddedRoute));
        }
    });
    store.put("op/config", testConfiguration(1));
    registerEndpoint(store, "i-1", endpoint);
    MemberDirectory members(InstanceId("edge-2"), DomainId("one"));
    for (int n = 0; n < 12; ++n) {
        const std::string id = fmt::format("frozen-{}", n);
        registerInstance(store, id, "one", frozenReader.address());
        members.put({InstanceId(id), DomainId("one"), frozenReader.address(), IncarnationId(id + ".1")});
    }
    RegistryReaders roles(members, ReadersPerDomain);
    roles.refresh();
    REQUIRE_FALSE(roles.isReader());
    const TestInstance instance(store.address(), 2, 1, "one");
    REQUIRE(eventually([&] { return isPolled.load(); }));
    CHECK(eventually([&] { return servesAddedRoute(instance); }, ConfigurationLimit));
    INFO(instance.log());
    CHECK(instance.log().find("event=reader-left prefix=op/") != std::string::npos);
}

TEST_CASE_METHOD(OneDomain, "During an outage endpoints stay in use everywhere, and its end is noticed everywhere", "[platform][readers]")
{
    store.setFault(KvStandIn::Fault::Unavailable);
    for (const auto &it : instances) {
        CHECK(eventually([&] { return it->log().find("event=store-lost prefix=servers/") != std::string::npos; }, Milliseconds(8000)));
    }
    // The entry lapses during the outage and is back soon after it.
    store.remove("servers/i-1");
    store.setFault(KvStandIn::Fault::None);
    std::this_thread::sleep_for(Milliseconds(1000));
    registerEndpoint(store, "i-1", endpoint);
    for (int n = 0; n < 30; ++n) {
        for (const auto &it : instances) {
            CHECK(it->send(callerRequest("/book/a", fmt::format("o{}-{}", n, it->process().pid()))).status == 200);
        }
        std::this_thread::sleep_for(Milliseconds(50));
    }
    for (const auto &it : instances) {
        CHECK(eventually([&] { return it->log().find("event=store-regained prefix=servers/") != std::string::npos; }, Milliseconds(3000)));
    }
    store.put("op/config", testConfiguration(2, AddedRoute));
    CHECK(allFollowersServeAddedRoute());
}
