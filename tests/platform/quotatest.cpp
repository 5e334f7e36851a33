#include "core/loopthread.h"
#include "instance/quotaclient.h"
#include "platform/testinstance.h"

#include <catch2/catch.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <memory>
#include <thread>
#include <vector>

using namespace flamingo;

namespace
{
constexpr double RequestsPerSecond = 20;
constexpr double Window = 5;

/// A further instance that isn't on the list and asks the listed ones, which are processes, for leases.
struct Fixture {
    Fixture()
    {
        store.put("op/config", testConfiguration(1));
        registerEndpoint(store, "i-1", endpoint);
        for (int n = 1; n <= 3; ++n) {
            instances.push_back(std::make_unique<TestInstance>(store, n));
        }
        for (const auto &it : instances) {
            REQUIRE(it->awaitReady());
        }
        REQUIRE(eventually([&] { return store.keys(MemberDirectory::KeyPrefix).size() == 3; }));
        readMembers();
    }

    ~Fixture()
    {
        loop.stop();
    }

    /// Takes the member list as it is in the store.
    void readMembers()
    {
        loop.call([&] {
            for (const std::string &key : store.keys(MemberDirectory::KeyPrefix)) {
                const InstanceId id(key.substr(std::string(MemberDirectory::KeyPrefix).size()));
                members.put(*MemberRecord::decode(id, store.get(key)));
            }
            return true;
        });
    }

    /// Sends requests at twice the limit.
    void sendRequests(Milliseconds duration)
    {
        const Instant end = std::chrono::steady_clock::now() + duration;
        while (std::chrono::steady_clock::now() < end) {
            loop.call([&] {
                client->acquire(workspace, [this](const QuotaVerdict &verdict) {
                    if (verdict.outcome == QuotaVerdict::Outcome::Allowed) {
                        allowed.push_back(std::chrono::steady_clock::now());
                    }
                });
                return true;
            });
            std::this_thread::sleep_for(Milliseconds(25));
        }
    }

    int allowedCount()
    {
        return loop.call([&] { return static_cast<int>(allowed.size()); });
    }

    int mostInAnyWindow()
    {
        return loop.call([&] {
            std::ptrdiff_t most = 0;
            for (auto it = allowed.begin(); it != allowed.end(); ++it) {
                const auto end = std::upper_bound(it, allowed.end(), *it + std::chrono::milliseconds(5000));
                most = std::max(most, end - it);
            }
            return static_cast<int>(most);
        });
    }

    KvStandIn store;
    ScriptedEndpoint endpoint{[](ScriptedEndpoint::Connection &, const ReceivedRequest &) {}};
    std::vector<std::unique_ptr<TestInstance>> instances;
    LoopThread loop;
    Metrics metrics;
    RouteTable routes;
    MemberDirectory members{InstanceId("edge-test"), DomainId("test")};
    ConnectionPool connections{loop.loop.context(), ConnectionPool::Settings{}};
    Workspace workspace{WorkspaceId("w"), {}, RequestsPerSecond, 0};
    std::vector<Instant> allowed;
    std::unique_ptr<QuotaClient> client = std::make_unique<QuotaClient>(
        QuotaClient::Peers{loop.loop.context(), loop.loop.timers(), members, connections},
        IncarnationId("edge-test:1:1"),
        QuotaSettings(),
        routes,
        [](const WorkspaceId &) { return std::nullopt; },
        metrics);
};
} // namespace

// Guards against homes that forget at a restart what they have granted, and against requests that all wait for a lost home.
TEST_CASE("A limit over three instances holds while one is killed and restarted", "[platform][quota]")
{
    Fixture it;
    const int bound = static_cast<int>(RequestsPerSecond * Window * 1.1) + 20;
    it.sendRequests(Milliseconds(6000));
    const int beforeKill = it.allowedCount();
    CHECK(beforeKill >= RequestsPerSecond * Window);
    it.instances[1]->killAndRestart();
    it.sendRequests(Milliseconds(3000));
    it.readMembers();
    it.sendRequests(Milliseconds(9000));
    CHECK(it.mostInAnyWindow() <= bound);
    CHECK(it.allowedCount() > beforeKill);
    // The restarted home waits for a span, the others go on; afterwards nearly the whole limit is served again.
    const int beforeEnd = it.allowedCount();
    it.sendRequests(Milliseconds(6000));
    CHECK(it.allowedCount() - beforeEnd >= RequestsPerSecond * Window * 0.9);
    CHECK(it.mostInAnyWindow() <= bound);
}

TEST_CASE("A home that stops as planned hands over what it has granted", "[platform][quota]")
{
    Fixture it;
    it.sendRequests(Milliseconds(2000));
    const int bound = static_cast<int>(RequestsPerSecond * Window * 1.1) + 20;
    const std::string home = it.loop.call([&] { return it.members.listedHome(QuotaPartition{it.workspace.id, 0}.key())->value(); });
    const std::size_t number = std::stoul(home.substr(home.find('-') + 1)) - 1;
    it.instances[number]->process().sendSignal(SIGTERM);
    it.sendRequests(Milliseconds(8000));
    CHECK(it.mostInAnyWindow() <= bound);
    std::string logs;
    for (const auto &instance : it.instances) {
        logs += instance->log();
    }
    CHECK(logs.find("quota-handed-over") != std::string::npos);
    CHECK(logs.find("accepted=true") != std::string::npos);
}

// Guards against homes that wait for a minute for what nobody can tell them, since an instance is listed that had started before their last
// restart: one that is gone, or was spared by the kill before.
TEST_CASE("Limits are served soon after all instances were killed twice, also where one was gone before", "[platform][quota]")
{
    constexpr Milliseconds KillInterval{6500}; // Longer than starts count as simultaneous, and than a home waits for what it had granted.
    constexpr int Requests = 20;
    KvStandIn store;
    nlohmann::json configuration = nlohmann::json::parse(withWorkspaces(testConfiguration(1), {{"acme", {"acme-key"}}}));
    configuration["tenants"][0]["rate-per-s"] = 50;
    store.put("op/config", configuration.dump());
    const ScriptedEndpoint endpoint(
        [](ScriptedEndpoint::Connection &connection, const ReceivedRequest &request) { connection.write(ScriptedEndpoint::response(request, "ok")); });
    registerEndpoint(store, "i-1", endpoint);
    std::vector<std::unique_ptr<TestInstance>> instances;
    for (int n = 1; n <= 3; ++n) {
        instances.push_back(std::make_unique<TestInstance>(store, n));
    }
    for (const auto &it : instances) {
        REQUIRE(it->awaitReady());
    }
    int sent = 0;
    const auto countServed = [&] {
        int served = 0;
        for (int n = 0; n < Requests; ++n) {
            const auto response = instances[n % 2]->send(callerRequest("/book/a", fmt::format("q{}", ++sent), "Authorization: Token acme-key\r\n"));
            served += response.status == 200 ? 1 : 0;
            std::this_thread::sleep_for(Milliseconds(50));
        }
        return served;
    };
    REQUIRE(eventually([&] { return countServed() == Requests; }, Milliseconds(15000)));
    instances.back()->process().kill();
    for (int kill = 0; kill < 2; ++kill) {
        std::this_thread::sleep_for(KillInterval);
        for (int n = 0; n < 2; ++n) {
            instances[n]->killAndRestart();
        }
        for (int n = 0; n < 2; ++n) {
            REQUIRE(instances[n]->awaitReady());
        }
    }
    std::this_thread::sleep_for(KillInterval);
    INFO(instances.front()->log());
    CHECK(countServed() >= Requests * 3 / 4);
}
