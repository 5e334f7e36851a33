#include "core/crypto.h"
#include "platform/testinstance.h"
#include "serving/memberdirectory.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <thread>

using namespace flamingo;

// Workspaces and their keys, with real processes: who is served, what endpoints are told, and what belongs to whom.

namespace
{
constexpr int TokensOfEvent = 29;
constexpr Milliseconds ConfigurationApplyTime{3000};

void respondWithEvent(ScriptedEndpoint::Connection &connection, const ReceivedRequest &request)
{
    connection.write(ScriptedEndpoint::responseHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
                     + ScriptedEndpoint::chunk(ScriptedEndpoint::event(1, "said")) + "0\r\n\r\n");
}

void respond(ScriptedEndpoint::Connection &connection, const ReceivedRequest &request)
{
    const bool isPlain = request.head.target.rfind("/book/", 0) == 0 || request.head.target.rfind("/ask/", 0) == 0;
    isPlain ? connection.write(ScriptedEndpoint::response(request, "ok")) : respondWithEvent(connection, request);
}

struct Fixture {
    explicit Fixture(int instanceCount = 1, int archiveCount = 0)
    {
        configure({{"acme", {"acme-key"}}, {"birds", {"birds-key"}}});
        registerEndpoint(store, "i-1", endpoint);
        for (int n = 1; n <= archiveCount; ++n) {
            archives.push_back(std::make_unique<TestArchive>(store, n));
        }
        REQUIRE(eventually([&] { return store.keys(MemberDirectory::KeyPrefix).size() == static_cast<std::size_t>(archiveCount); }));
        for (int n = 1; n <= instanceCount; ++n) {
            instances.push_back(std::make_unique<TestInstance>(store, n));
        }
        for (const auto &it : instances) {
            REQUIRE(it->awaitReady());
        }
    }

    void configure(const std::map<std::string, std::vector<std::string>> &keysByName)
    {
        store.put("op/config", withWorkspaces(testConfiguration(++version), keysByName));
    }

    CallerResponse send(const std::string &path, const std::string &key, const std::string &headerLines = {}, std::size_t instance = 0)
    {
        const std::string keyLine = key.empty() ? std::string() : "Authorization: Token " + key + "\r\n";
        lastId = fmt::format("t{}", ++requestCount);
        return instances[instance]->send(callerRequest(path, lastId, keyLine + headerLines));
    }

    int statusOf(const std::string &path, const std::string &key, const std::string &headerLines = {}, std::size_t instance = 0)
    {
        return send(path, key, headerLines, instance).status;
    }

    /// The status of a turn that continues the given one. It is asked for again where the history can't be looked up yet.
    int statusOfNextTurn(const std::string &previous, const std::string &key, std::size_t instance = 0)
    {
        int status = 0;
        eventually([&] {
            status = statusOf("/chat/a", key, "X-Program-Id: p\r\nX-Previous-Turn: " + previous + "\r\n", instance);
            return status != 503 && status != 0;
        });
        return status;
    }

    KvStandIn store;
    ScriptedEndpoint endpoint{respond};
    std::vector<std::unique_ptr<TestArchive>> archives;
    std::vector<std::unique_ptr<TestInstance>> instances;
    std::string lastId;
    int version = 0;
    int requestCount = 0;
};
} // namespace

// Guards against a key that doesn't come into force or stays valid, at an instance whichever way it gets the configuration.
TEST_CASE("Keys are known, added and removed with the configuration at all instances", "[platform][workspaces]")
{
    Fixture it(2);
    for (std::size_t n = 0; n < it.instances.size(); ++n) {
        CHECK(it.statusOf("/book/a", "acme-key", {}, n) == 200);
        CHECK(it.statusOf("/book/a", "other-key", {}, n) == 401);
        CHECK(it.statusOf("/book/a", "", {}, n) == 401);
        CHECK(it.statusOf("/ask/a", "", {}, n) == 200);
        CHECK(it.statusOf("/ask/a", "other-key", {}, n) == 401);
    }
    const std::size_t served = it.endpoint.requests().size();
    CHECK(served == 4);
    it.configure({{"acme", {"new-key"}}, {"birds", {"birds-key"}}});
    std::this_thread::sleep_for(ConfigurationApplyTime);
    for (std::size_t n = 0; n < it.instances.size(); ++n) {
        CHECK(it.statusOf("/book/a", "acme-key", {}, n) == 401);
        CHECK(it.statusOf("/book/a", "new-key", {}, n) == 200);
    }
    CHECK(it.endpoint.requests().size() == served + 2);
    CHECK(it.send("/book/a", "acme-key").fields.value("WWW-Authenticate") == "Token");
    CHECK(it.instances[0]->metric("flamingo_requests_refused_total{reason=\"unknown-key\"}") >= 4);
    CHECK(it.instances[0]->metric("flamingo_workspaces") == 2);
    CHECK(it.instances[0]->metric("flamingo_workspace_keys") == 2);
}

// Guards against keys that endpoints get to see, and against callers that choose their workspace.
TEST_CASE("The endpoint gets the workspace from the system, and neither the caller's X-Tenant nor its key", "[platform][workspaces]")
{
    Fixture it;
    CHECK(it.statusOf("/book/a", "acme-key", "X-Tenant: birds\r\n") == 200);
    CHECK(it.statusOf("/ask/a", "", "X-Tenant: birds\r\nAuthorization: Basic YTpi\r\n") == 200);
    CHECK(it.statusOf("/ask/a", "birds-key") == 200);
    const auto requests = it.endpoint.requests();
    REQUIRE(requests.size() == 3);
    CHECK(requests[0].head.fields.value("X-Tenant") == "acme");
    CHECK(requests[1].head.fields.find("X-Tenant") == nullptr);
    CHECK(requests[2].head.fields.value("X-Tenant") == "birds");
    for (const ReceivedRequest &request : requests) {
        CHECK(request.head.fields.find("Authorization") == nullptr);
        for (const HeaderField &field : request.head.fields.all()) {
            INFO(field.name << ": " << field.value);
            CHECK((field.name == "X-Tenant" || field.value.find("birds") == std::string::npos));
        }
    }
}

// Guards against engines and queues that serve a workspace by its route's priority.
TEST_CASE("A workspace's priority reaches the engine in place of the route's", "[platform][workspaces]")
{
    Fixture it;
    nlohmann::json configuration = nlohmann::json::parse(it.store.get("op/config"));
    configuration["version"] = ++it.version;
    configuration["tenants"][1]["priority"] = 2;
    it.store.put("op/config", configuration.dump());
    REQUIRE(eventually([&] { return it.instances[0]->metric("flamingo_configuration_version") == it.version; }));
    CHECK(it.statusOf("/stream/a", "acme-key", "X-Token-Usage: 10,29\r\n") == 200);
    CHECK(it.statusOf("/stream/a", "birds-key", "X-Token-Usage: 10,29\r\n") == 200);
    const auto requests = it.endpoint.requests();
    REQUIRE(requests.size() == 2);
    CHECK(requests[0].head.fields.value("X-Request-Priority") == "3");
    CHECK(requests[1].head.fields.value("X-Request-Priority") == "7");
}

TEST_CASE("Without workspaces both headers reach the endpoint", "[platform][workspaces]")
{
    Fixture it;
    it.store.put("op/config", testConfiguration(++it.version));
    REQUIRE(eventually([&] { return it.statusOf("/book/a", "") == 200; }));
    CHECK(it.statusOf("/book/a", "any-key", "X-Tenant: birds\r\n") == 200);
    const ReceivedRequest request = it.endpoint.requests().back();
    CHECK(request.head.fields.value("Authorization") == "Token any-key");
    CHECK(request.head.fields.value("X-Tenant") == "birds");
}

// Guards against a workspace that reads another one's history, from wherever its home has the turn.
TEST_CASE("Another workspace's turn is absent, also after its home has moved or started again", "[platform][workspaces]")
{
    Fixture it(2);
    REQUIRE(it.statusOf("/chat/a", "acme-key", "X-Program-Id: p\r\n") == 200);
    const std::string turn = it.lastId;
    for (std::size_t n = 0; n < it.instances.size(); ++n) {
        CHECK(it.statusOfNextTurn(turn, "birds-key", n) == 404);
        CHECK(it.statusOfNextTurn(turn, "acme-key", n) == 200);
    }
    it.instances[0]->process().kill();
    CHECK(it.statusOfNextTurn(turn, "birds-key", 1) == 404);
    CHECK(it.statusOfNextTurn(turn, "acme-key", 1) == 200);
    CHECK(it.statusOfNextTurn(turn, "birds-key", 1) == 404);
    it.instances[0]->killAndRestart();
    it.instances[1]->killAndRestart();
    REQUIRE(it.instances[0]->awaitReady());
    REQUIRE(it.instances[1]->awaitReady());
    for (std::size_t n = 0; n < it.instances.size(); ++n) {
        CHECK(it.statusOfNextTurn(turn, "birds-key", n) == 404);
        CHECK(it.statusOfNextTurn(turn, "acme-key", n) == 200);
    }
}

// Guards against an archive that loses a turn's workspace on the way to the store.
TEST_CASE("Another workspace's turn is absent where only archives have it, and after their upload", "[platform][workspaces]")
{
    Fixture it(1, 2);
    it.store.setFault(KvStandIn::Fault::Unavailable);
    REQUIRE(it.send("/chat/a", "acme-key", "X-Program-Id: p\r\n").isComplete);
    const std::string turn = it.lastId;
    it.store.setFault(KvStandIn::Fault::None);
    it.instances[0]->killAndRestart();
    REQUIRE(it.instances[0]->awaitReady());
    CHECK(it.statusOfNextTurn(turn, "birds-key") == 404);
    CHECK(it.statusOfNextTurn(turn, "acme-key") == 200);
    REQUIRE(eventually([&] { return !it.store.get("turn/" + turn).empty(); }));
    it.instances[0]->killAndRestart();
    REQUIRE(it.instances[0]->awaitReady());
    CHECK(it.statusOfNextTurn(turn, "birds-key") == 404);
    CHECK(it.statusOfNextTurn(turn, "acme-key") == 200);
}

// Guards against a workspace that uses up another one's budget by naming its program.
TEST_CASE("Two workspaces with the same program id have a budget each", "[platform][workspaces]")
{
    Fixture it;
    const std::string budgetLines = fmt::format("X-Program-Id: p\r\nX-Token-Budget: {0}\r\nX-Token-Usage: 10,{1}\r\n", 3 * TokensOfEvent, TokensOfEvent);
    for (int n = 0; n < 3; ++n) {
        CHECK(it.statusOf("/stream/a", "acme-key", budgetLines) == 200);
    }
    CHECK(eventually([&] { return it.statusOf("/stream/a", "acme-key", budgetLines) == 402; }));
    CHECK(it.statusOf("/stream/a", "birds-key", budgetLines) == 200);
    CHECK(it.store.keys("budget/").size() == 2);
}

// Guards against keys in places that others read.
TEST_CASE("Neither keys nor their digests are in the log or in the store's records", "[platform][workspaces]")
{
    Fixture it;
    CHECK(it.statusOf("/chat/a", "acme-key", "X-Program-Id: p\r\n") == 200);
    CHECK(it.statusOf("/chat/a", "wrong-key", "X-Program-Id: p\r\n") == 401);
    // The text of a parse error quotes the string in which the configuration ends.
    it.store.put("op/config", R"({"version":90,"tenants":[{"name":"acme","api-keys":["acme-key)");
    REQUIRE(eventually([&] { return it.instances[0]->log().find("configuration-unreadable") != std::string::npos; }));
    CHECK(it.statusOf("/chat/a", "acme-key", "X-Program-Id: p\r\n") == 200);
    std::string texts = it.instances[0]->log();
    for (const std::string &key : it.store.keys("")) {
        texts += key + (key == "op/config" ? std::string() : it.store.get(key));
    }
    for (const std::string key : {"acme-key", "birds-key", "wrong-key"}) {
        CHECK(texts.find(key) == std::string::npos);
        CHECK(texts.find(sha256Hex(key)) == std::string::npos);
    }
}
