#include "platform/testinstance.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <thread>

using namespace flamingo;

// Where revocations fail closed, a key that was taken away must not be accepted for longer than the bound, also at an instance that can't
// learn of it. Keys that are still valid are accepted until then.

namespace
{
constexpr Milliseconds Bound{2000};
constexpr const char *UnconfirmedRefusals = R"(flamingo_requests_refused_total{reason="configuration-unconfirmed"})";

void respondOk(ScriptedEndpoint::Connection &connection, const ReceivedRequest &request)
{
    connection.write(ScriptedEndpoint::response(request, "ok"));
}

/// A configuration in which one workspace has the keys.
std::string configuration(int version, const std::string &keys)
{
    std::string json = testConfiguration(version,
                                         R"(,{"name":"r-open","host":"h.example","prefix":"/open/","type":"idempotent","timeout-ms":3000,)"
                                         R"("service":"app","public":true})");
    json.pop_back();
    return json + fmt::format(R"(,"tenants":[{{"name":"yard","api-keys":[{}]}}]}})", keys);
}

std::string requestWithKey(const std::string &key)
{
    static int n = 0;
    return callerRequest("/ask/a", fmt::format("k{}", ++n), fmt::format("Authorization: Token {}\r\n", key));
}

struct Revocation {
    Revocation()
        : endpoint(respondOk)
    {
        store.put("op/config", configuration(1, R"("old","kept")"));
        registerEndpoint(store, "i-1", endpoint);
    }

    TestInstance &start(int number, const std::string &domain = {})
    {
        instances.push_back(std::make_unique<TestInstance>(store.address(), number, 1, domain));
        TestInstance &it = *instances.back();
        it.editSettings("[bounds]", fmt::format("[bounds]\nrevoke-fail-closed = true\nrevoke-ms = {}", Bound.count()));
        it.killAndRestart();
        REQUIRE(it.awaitReady());
        REQUIRE(eventually([&] { return it.send(requestWithKey("kept")).status == 200; }));
        return it;
    }

    /// Waits until the bound has passed since the key was taken away, and some more for requests that were sent before.
    static void waitForBound()
    {
        std::this_thread::sleep_for(Bound + Milliseconds(100));
    }

    ScriptedEndpoint endpoint;
    KvStandIn store;
    std::vector<std::unique_ptr<TestInstance>> instances;
};
} // namespace

TEST_CASE_METHOD(Revocation, "A key that is taken away is refused, and the others stay valid", "[platform][revocation]")
{
    const TestInstance &instance = start(1);
    CHECK(instance.send(requestWithKey("old")).status == 200);
    store.put("op/config", configuration(2, R"("kept")"));
    CHECK(eventually([&] { return instance.send(requestWithKey("old")).status == 401; }, Bound));
    CHECK(instance.send(requestWithKey("kept")).status == 200);
}

// Guards against an instance that goes on with its last view of the keys while it can't learn of a newer one.
TEST_CASE_METHOD(Revocation, "Without a store no key is accepted after the bound, and all are again once it is back", "[platform][revocation]")
{
    const auto fault = GENERATE(KvStandIn::Fault::Unavailable, KvStandIn::Fault::Unresponsive, KvStandIn::Fault::StalledWatches);
    const TestInstance &instance = start(1);
    store.setFault(fault);
    store.put("op/config", configuration(2, R"("kept")"));
    waitForBound();
    CHECK(instance.send(requestWithKey("old")).status != 200);
    if (fault != KvStandIn::Fault::StalledWatches) {
        const CallerResponse refused = instance.send(requestWithKey("kept"));
        CHECK(refused.status == 503);
        CHECK(refused.fields.find("Retry-After") != nullptr);
        CHECK(instance.metric(UnconfirmedRefusals) > 0);
    }
    // A route without keys isn't concerned.
    CHECK(instance.send(callerRequest("/open/a", "open1")).status == 200);
    store.setFault(KvStandIn::Fault::None);
    CHECK(eventually([&] { return instance.send(requestWithKey("kept")).status == 200; }, Milliseconds(4000)));
    CHECK(instance.send(requestWithKey("old")).status == 401);
}

// Guards against a view that counts as confirmed although the newest configuration, which may have removed keys, couldn't be read.
TEST_CASE_METHOD(Revocation, "Keys are refused after the bound while the newest configuration is unreadable or gone", "[platform][revocation]")
{
    const bool isRemoved = GENERATE(false, true);
    const TestInstance &instance = start(1);
    if (isRemoved) {
        store.remove("op/config");
    } else {
        store.put("op/config", configuration(2, R"("kept")").substr(1));
    }
    waitForBound();
    CHECK(instance.send(requestWithKey("old")).status == 503);
    CHECK(instance.send(callerRequest("/open/a", "open1")).status == 200);
    store.put("op/config", configuration(3, R"("kept")"));
    CHECK(eventually([&] { return instance.send(requestWithKey("kept")).status == 200; }, Bound));
    CHECK(instance.send(requestWithKey("old")).status == 401);
}

// Guards against the reader's age being counted from the end of a poll, and against followers that never learn that readers are gone.
TEST_CASE_METHOD(Revocation, "An instance that isn't a reader accepts no key after the bound when store and readers are silent", "[platform][revocation]")
{
    constexpr int InstanceCount = 5;
    for (int n = 1; n <= InstanceCount; ++n) {
        start(n, "one");
    }
    // Calm operation for longer than the bound: nobody refuses a key.
    const Instant end = std::chrono::steady_clock::now() + 2 * Bound;
    while (std::chrono::steady_clock::now() < end) {
        for (const auto &it : instances) {
            CHECK(it->send(requestWithKey("kept")).status == 200);
        }
    }
    store.setFault(KvStandIn::Fault::Unresponsive);
    store.put("op/config", configuration(2, R"("kept")"));
    waitForBound();
    for (const auto &it : instances) {
        CHECK(it->send(requestWithKey("old")).status != 200);
    }
}

// Guards against a process that was paused and goes on with the view that it had before.
TEST_CASE_METHOD(Revocation, "An instance that was paused past the bound accepts no key that was taken away meanwhile", "[platform][revocation]")
{
    TestInstance &instance = start(1);
    instance.process().sendSignal(SIGSTOP);
    store.put("op/config", configuration(2, R"("kept")"));
    waitForBound();
    CallerConnection connection = instance.connect();
    connection.send(requestWithKey("old"));
    instance.process().sendSignal(SIGCONT);
    CHECK(connection.read().status != 200);
    CHECK(eventually([&] { return instance.send(requestWithKey("kept")).status == 200; }));
}
