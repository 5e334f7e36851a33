#include "platform/testinstance.h"
#include "platform/versionedendpoint.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <memory>
#include <thread>

using namespace flamingo;

// Endpoints of two software versions serve side by side. A stream goes on only at the version that began it, or it is refused at once.

namespace
{
constexpr int InstanceCount = 3;
/// Less than an instance may hold a request that it can't serve.
constexpr Milliseconds RefusalLimit{1000};
constexpr Milliseconds StreamTime{150};

struct Deployment {
    /// Without names of its own each version gets two endpoints.
    explicit Deployment(const std::vector<std::string> &versions, bool breaksOff = false)
    {
        store.put("op/config", testConfiguration(1));
        for (const std::string &version : versions) {
            for (int n = 0; n < 2; ++n) {
                endpoints.push_back(std::make_unique<VersionedEndpoint>(version, breaksOff));
                registerEndpoint(store, fmt::format("i-{}-{}", version, n), endpoints.back()->endpoint(), "ready", version);
            }
        }
        for (int n = 1; n <= InstanceCount; ++n) {
            instances.push_back(std::make_unique<TestInstance>(store, n));
        }
        for (const auto &it : instances) {
            REQUIRE(it->awaitReady());
        }
        // Until all have got the whole member list.
        std::this_thread::sleep_for(Milliseconds(2500));
    }

    /// Begins a stream at an instance and leaves it in the middle. Returns the version that began it.
    std::string beginStream(const std::string &id, std::size_t instance) const
    {
        instances[instance]->sendAndDisconnect(callerRequest("/stream/a", id), StreamTime);
        return versionThatRan(id);
    }

    /// Takes the stream up again after its second event.
    CallerResponse takeUp(const std::string &id, const std::string &resumed, std::size_t instance) const
    {
        return instances[instance]->send(callerRequest("/stream/a", id, fmt::format("Last-Event-Id: 2\r\nResumes: {}\r\n", resumed)));
    }

    /// The version of the endpoints that got the request; empty if none did.
    std::string versionThatRan(const std::string &id) const
    {
        const auto versions = versionsThatReceived(endpoints, id);
        return versions.empty() ? std::string() : *versions.begin();
    }

    KvStandIn store;
    std::vector<std::unique_ptr<VersionedEndpoint>> endpoints;
    std::vector<std::unique_ptr<TestInstance>> instances;
};

/// A way to the store that can be cut.
class StoreRoute
{
public:
    explicit StoreRoute(const KvStandIn &store)
        : m_store({asio::ip::make_address(store.address().host), store.address().port})
        , m_acceptor(m_thread.loop.context(), {asio::ip::make_address("127.0.0.1"), 0})
    {
        m_thread.call([this] { accept(); });
    }

    ~StoreRoute()
    {
        m_thread.call([this] { m_acceptor.close(); });
        m_thread.stop();
    }

    SocketAddress address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    /// From here on no byte is passed on; connections stay open.
    void cut()
    {
        m_isCut = true;
    }

private:
    struct Pair {
        asio::ip::tcp::socket caller;
        asio::ip::tcp::socket store;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code &ec, asio::ip::tcp::socket caller) {
            if (ec) {
                return;
            }
            const auto pair = std::make_shared<Pair>(Pair{std::move(caller), asio::ip::tcp::socket(m_thread.loop.context())});
            asio::error_code ignored;
            pair->store.connect(m_store, ignored);
            pass(pair, pair->caller, pair->store);
            pass(pair, pair->store, pair->caller);
            accept();
        });
    }

    void pass(const std::shared_ptr<Pair> &pair, asio::ip::tcp::socket &from, asio::ip::tcp::socket &to)
    {
        const auto buf = std::make_shared<std::array<char, 8192>>();
        from.async_read_some(asio::buffer(*buf), [this, pair, &from, &to, buf](const asio::error_code &ec, std::size_t n) {
            asio::error_code failed;
            if (ec) {
                to.close(failed);
                return;
            }
            if (!m_isCut) {
                asio::write(to, asio::buffer(buf->data(), n), failed);
            }
            pass(pair, from, to);
        });
    }

    LoopThread m_thread;
    asio::ip::tcp::endpoint m_store;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_isCut{false};
};

bool isJoined(const CallerResponse &response)
{
    return response.body.find("old") != std::string::npos && response.body.find("new") != std::string::npos;
}
} // namespace

TEST_CASE("A response that breaks off isn't joined with events of another software version", "[platform][versions]")
{
    constexpr int StreamCount = 24;
    const Deployment deployment({"old", "new"}, true);
    int joined = 0;
    int complete = 0;
    for (int n = 0; n < StreamCount; ++n) {
        const CallerResponse response = deployment.instances[0]->send(callerRequest("/stream/a", fmt::format("b{}", n)));
        joined += isJoined(response) ? 1 : 0;
        complete += response.isComplete && response.status == 200 ? 1 : 0;
    }
    INFO(deployment.instances[0]->log());
    CHECK(joined == 0);
    // What breaks off still goes on where that is safe.
    CHECK(complete > StreamCount / 2);
}

TEST_CASE("A stream that is taken up at another instance isn't joined with events of another software version", "[platform][versions]")
{
    constexpr int StreamCount = 16;
    const Deployment deployment({"old", "new"});
    int joined = 0;
    int continued = 0;
    for (int n = 0; n < StreamCount; ++n) {
        const std::string version = deployment.beginStream(fmt::format("s{}", n), n % 2);
        const CallerResponse response = deployment.takeUp(fmt::format("t{}", n), fmt::format("s{}", n), 1 + n % 2);
        const std::string continuedBy = deployment.versionThatRan(fmt::format("t{}", n));
        joined += !continuedBy.empty() && continuedBy != version ? 1 : 0;
        continued += response.status == 200 && response.isComplete ? 1 : 0;
    }
    INFO(deployment.instances[1]->log());
    CHECK(joined == 0);
    CHECK(continued == StreamCount);
}

TEST_CASE("A stream of an instance that was killed goes on at the software version that began it", "[platform][versions]")
{
    constexpr int StreamCount = 12;
    const Deployment deployment({"old", "new"});
    std::vector<std::string> versions;
    for (int n = 0; n < StreamCount; ++n) {
        versions.push_back(deployment.beginStream(fmt::format("s{}", n), 0));
    }
    deployment.instances[0]->process().kill();
    int joined = 0;
    int continued = 0;
    for (int n = 0; n < StreamCount; ++n) {
        const CallerResponse response = deployment.takeUp(fmt::format("t{}", n), fmt::format("s{}", n), 1 + n % 2);
        const std::string continuedBy = deployment.versionThatRan(fmt::format("t{}", n));
        joined += !continuedBy.empty() && continuedBy != versions[n] ? 1 : 0;
        continued += response.status == 200 && response.isComplete ? 1 : 0;
    }
    INFO(deployment.instances[1]->log());
    CHECK(joined == 0);
    CHECK(continued == StreamCount);
}

TEST_CASE("After all instances were killed no stream is joined from two software versions", "[platform][versions]")
{
    constexpr int StreamCount = 8;
    const bool hasOldVersionLeft = GENERATE(true, false);
    Deployment deployment({"old", "new"});
    for (int n = 0; n < StreamCount; ++n) {
        deployment.beginStream(fmt::format("s{}", n), n % InstanceCount);
    }
    for (const auto &it : deployment.instances) {
        it->process().kill();
    }
    for (int n = 0; n < 2 && !hasOldVersionLeft; ++n) {
        deployment.store.remove(fmt::format("servers/i-old-{}", n));
    }
    for (const auto &it : deployment.instances) {
        it->killAndRestart();
    }
    for (const auto &it : deployment.instances) {
        REQUIRE(it->awaitReady());
    }
    for (int n = 0; n < StreamCount; ++n) {
        const Instant sentAt = std::chrono::steady_clock::now();
        const CallerResponse response = deployment.takeUp(fmt::format("t{}", n), fmt::format("s{}", n), n % InstanceCount);
        CHECK(std::chrono::steady_clock::now() - sentAt < RefusalLimit);
        CHECK(response.status == 503);
        CHECK(deployment.versionThatRan(fmt::format("t{}", n)).empty());
    }
    // New streams begin, and go on.
    const std::string version = deployment.beginStream("after", 0);
    CHECK_FALSE(version.empty());
    CHECK(deployment.takeUp("after-2", "after", 1).status == 200);
    CHECK(deployment.versionThatRan("after-2") == version);
}

TEST_CASE("A stream whose software version has left is refused at once", "[platform][versions]")
{
    Deployment deployment({"old", "new"});
    std::string id;
    for (int n = 0; id.empty() && n < 40; ++n) {
        id = deployment.beginStream(fmt::format("s{}", n), 0) == "old" ? fmt::format("s{}", n) : std::string();
    }
    REQUIRE_FALSE(id.empty());
    for (int n = 0; n < 2; ++n) {
        deployment.store.remove(fmt::format("servers/i-old-{}", n));
    }
    std::this_thread::sleep_for(Milliseconds(1500));
    for (std::size_t n = 0; n < InstanceCount; ++n) {
        const Instant sentAt = std::chrono::steady_clock::now();
        const CallerResponse response = deployment.takeUp(fmt::format("t{}", n), id, n);
        CHECK(std::chrono::steady_clock::now() - sentAt < RefusalLimit);
        CHECK(response.status == 503);
        CHECK(deployment.versionThatRan(fmt::format("t{}", n)).empty());
    }
}

TEST_CASE("Streams of an instance that was killed go on where there is one software version", "[platform][versions]")
{
    constexpr int StreamCount = 12;
    const Deployment deployment({"old"});
    for (int n = 0; n < StreamCount; ++n) {
        deployment.beginStream(fmt::format("s{}", n), 0);
    }
    deployment.instances[0]->process().kill();
    for (int n = 0; n < StreamCount; ++n) {
        CHECK(deployment.takeUp(fmt::format("t{}", n), fmt::format("s{}", n), 1 + n % 2).isComplete);
    }
}

// Guards against an instance that hears nobody, knows an old list of endpoints and decides alone.
TEST_CASE("An instance that is cut off doesn't join a stream that others began at a software version it hasn't seen", "[platform][versions]")
{
    constexpr int StreamCount = 12;
    Deployment deployment({"old"});
    StoreRoute route(deployment.store);
    const TestInstance cutOff(route.address(), InstanceCount + 1);
    REQUIRE(cutOff.awaitReady());
    std::this_thread::sleep_for(Milliseconds(2500));
    route.cut();
    // Nothing that the others note reaches it.
    registerInstance(deployment.store, fmt::format("edge-{}", InstanceCount + 1), fmt::format("zone-{}", InstanceCount + 1), {"127.0.0.1", 1});
    deployment.endpoints.push_back(std::make_unique<VersionedEndpoint>("new", false));
    registerEndpoint(deployment.store, "i-new-0", deployment.endpoints.back()->endpoint(), "ready", "new");
    std::this_thread::sleep_for(Milliseconds(500));
    std::vector<std::string> begunAtNew;
    for (int n = 0; n < StreamCount; ++n) {
        const std::string id = fmt::format("s{}", n);
        if (deployment.beginStream(id, n % InstanceCount) == "new") {
            begunAtNew.push_back(id);
        }
    }
    REQUIRE_FALSE(begunAtNew.empty());
    for (const auto &it : deployment.instances) {
        it->process().sendSignal(SIGSTOP);
    }
    for (const std::string &id : begunAtNew) {
        const Instant sentAt = std::chrono::steady_clock::now();
        const CallerResponse response = cutOff.send(callerRequest("/stream/a", "t" + id, fmt::format("Last-Event-Id: 2\r\nResumes: {}\r\n", id)));
        CHECK(std::chrono::steady_clock::now() - sentAt < RefusalLimit);
        INFO("status " << response.status << " " << response.body);
        CHECK(deployment.versionThatRan("t" + id).empty());
    }
}
