#include "core/loopthread.h"
#include "http/connectionpool.h"
#include "http/internalrequest.h"
#include "instance/isolationdetector.h"
#include "platform/testinstance.h"
#include "serving/registryversions.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <csignal>
#include <thread>

using namespace flamingo;

// Configurations that come in quick succession: each has to be in force in time, also at an instance that gets them late.

namespace
{
constexpr Milliseconds ConfigurationLimit{3000};
constexpr Milliseconds ChangeInterval{100};

std::string addedRoute(int version)
{
    return fmt::format(
        R"(,{{"name":"r-v{0}","host":"h.example","prefix":"/v{0}/","type":"idempotent","timeout-ms":3000,"slo-ms":250,"max-attempts":2,"service":"app"}})",
        version);
}

void respondOk(ScriptedEndpoint::Connection &connection, const ReceivedRequest &request)
{
    connection.write(ScriptedEndpoint::response(request, "ok"));
}

bool servesVersion(const TestInstance &instance, int version)
{
    static std::atomic<int> n{0};
    return instance.send(callerRequest(fmt::format("/v{}/a", version), fmt::format("m{}", ++n))).status == 200;
}

/// Calls from another instance.
class Peer
{
public:
    explicit Peer(int instance)
        : m_address{TestInstance::address(instance), TestInstance::PeerPort}
    {
    }

    ~Peer()
    {
        m_thread.stop();
    }

    /// Tells the instance that this one has seen a configuration. Doesn't wait for the answer.
    void ping(int version)
    {
        RegistryVersions versions;
        versions.configuration = ConfigurationVersion(static_cast<std::uint64_t>(version));
        InternalRequest request;
        request.address = m_address;
        request.method = "POST";
        request.target = IsolationDetector::PingPath;
        request.body = versions.encode();
        m_thread.call([&] { sendInternalRequest(m_thread.loop.context(), m_connections, std::move(request), [](const std::optional<InternalResponse> &) {}); });
    }

private:
    LoopThread m_thread;
    ConnectionPool m_connections{m_thread.loop.context(), {4, Milliseconds(1000)}};
    SocketAddress m_address;
};

/// Sets how long after a call the store responds.
void setStoreDelay(const KvStandIn &store, Milliseconds delay)
{
    LoopThread thread;
    ConnectionPool connections(thread.loop.context(), {1, Milliseconds(1000)});
    InternalRequest request;
    request.address = store.address();
    request.method = "POST";
    request.target = "/admin";
    request.body = fmt::format(R"({{"delay_ms":{}}})", delay.count());
    std::atomic<bool> isDone{false};
    thread.call(
        [&] { sendInternalRequest(thread.loop.context(), connections, std::move(request), [&](const std::optional<InternalResponse> &) { isDone = true; }); });
    REQUIRE(eventually([&] { return isDone.load(); }));
    thread.stop();
}
} // namespace

// Guards against reports of peers that abandon the call whose answer would bring the configuration.
TEST_CASE("Peers that report one configuration after the other don't keep an instance with slow store calls on an old one", "[platform][manifests]")
{
    constexpr int ChangeCount = 80;
    constexpr Milliseconds StoreDelay{320};
    ScriptedEndpoint endpoint(respondOk);
    KvStandIn store;
    store.put("op/config", testConfiguration(1));
    registerEndpoint(store, "i-1", endpoint);
    const TestInstance instance(store, 1);
    REQUIRE(instance.awaitReady());
    Peer peer(1);
    setStoreDelay(store, StoreDelay);
    const int checkedChanges = static_cast<int>(ConfigurationLimit / ChangeInterval);
    std::string routes;
    int lateVersions = 0;
    for (int version = 2; version < 2 + ChangeCount; ++version) {
        routes += addedRoute(version);
        store.put("op/config", testConfiguration(version, routes));
        peer.ping(version);
        std::this_thread::sleep_for(ChangeInterval);
        if (const int due = version - checkedChanges; due > 1) {
            lateVersions += servesVersion(instance, due) ? 0 : 1;
        }
    }
    INFO(instance.log());
    CHECK(lateVersions == 0);
}

// Guards against a watch whose answer is too large being asked for again and again.
TEST_CASE("An instance that stood still during changes of a large configuration gets the newest one in time", "[platform][manifests]")
{
    constexpr int ChangeCount = 12;
    constexpr int ExtraRoutes = 2600;
    constexpr Milliseconds PauseTime{4000};
    ScriptedEndpoint endpoint(respondOk);
    KvStandIn store;
    std::string routes;
    for (int n = 0; n < ExtraRoutes; ++n) {
        routes += addedRoute(100000 + n);
    }
    store.put("op/config", testConfiguration(1, routes));
    registerEndpoint(store, "i-1", endpoint);
    TestInstance instance(store, 1);
    REQUIRE(instance.awaitReady());
    instance.process().sendSignal(SIGSTOP);
    for (int version = 2; version < 2 + ChangeCount; ++version) {
        routes += addedRoute(version);
        store.put("op/config", testConfiguration(version, routes));
        std::this_thread::sleep_for(PauseTime / ChangeCount);
    }
    instance.process().sendSignal(SIGCONT);
    CHECK(eventually([&] { return servesVersion(instance, 1 + ChangeCount); }, ConfigurationLimit));
    INFO(instance.log());
    CHECK(instance.log().find("event=store-lost") == std::string::npos);
}
