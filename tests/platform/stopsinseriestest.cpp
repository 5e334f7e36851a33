#include "platform/testinstance.h"
#include "serving/memberdirectory.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <csignal>
#include <memory>
#include <thread>
#include <vector>

using namespace flamingo;

// Planned stops of two machines that overlap, so that the second one has become the home of the first one's programs, with an outage
// of the store and signals to reload the settings in between. Callers keep using their open connections until these are closed.

namespace
{
constexpr int GraceSeconds = 8;
constexpr int MaxTokensOfTurn = 290;
constexpr int Budget = 100000;

void respondSlowly(ScriptedEndpoint::Connection &connection, const ReceivedRequest &request)
{
    const std::string head = ScriptedEndpoint::responseHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
    connection.write(head + ScriptedEndpoint::chunk(ScriptedEndpoint::event(1, "begin")));
    const auto workMs = static_cast<int>(std::hash<std::string>()(request.head.fields.value("X-Attempt-Id")) % 500);
    connection.writeLater(Milliseconds(workMs), ScriptedEndpoint::chunk(ScriptedEndpoint::event(2, "end")) + "0\r\n\r\n");
}

/// What one caller has seen, which sends the turns of its program on one connection until that is closed.
struct SeenTurns {
    int answered = 0;
    int refused = 0;
    int cutOff = 0;
    int failed = 0; ///< With another status: the turn was said to have run, or its history to be lost.
    std::vector<std::string> refusedIds;
    std::vector<std::string> unansweredIds; ///< No head arrived, so the caller was told nothing.
};

SeenTurns sendTurns(const TestInstance &instance, const std::string &program, const std::atomic<bool> &mayGoOn)
{
    SeenTurns seen;
    CallerConnection connection = instance.connect();
    std::string previous;
    for (int n = 0; mayGoOn; ++n) {
        const std::string id = fmt::format("{}-{}", program, n);
        const std::string history = previous.empty() ? std::string() : "X-Previous-Turn: " + previous + "\r\n";
        const std::string lines =
            fmt::format("X-Program-Id: {}\r\nX-Session-Id: s\r\nX-Token-Budget: {}\r\nX-Token-Usage: 10,{}\r\n{}", program, Budget, MaxTokensOfTurn, history);
        if (!connection.send(callerRequest("/chat/a", id, lines))) {
            return seen;
        }
        const CallerResponse response = connection.read();
        if (response.status == 0) {
            seen.unansweredIds.push_back(id);
            return seen;
        }
        seen.answered += response.status == 200 && response.isComplete ? 1 : 0;
        seen.refused += response.status == 503 ? 1 : 0;
        seen.cutOff += response.isComplete ? 0 : 1;
        seen.failed += response.status == 200 || response.status == 503 ? 0 : 1;
        if (response.status == 503) {
            seen.refusedIds.push_back(id);
            std::this_thread::sleep_for(Milliseconds(50));
        }
        previous = response.status == 200 && response.isComplete ? id : previous;
        if (response.fields.value("Connection") == "close") {
            return seen;
        }
    }
    return seen;
}

struct Deployment {
    Deployment()
    {
        store.put("op/config", testConfiguration(1));
        registerEndpoint(store, "i-1", endpoint);
        REQUIRE(eventually([this] { return store.keys(MemberDirectory::KeyPrefix).size() == 2; }));
        for (int n = 1; n <= 3; ++n) {
            instances.push_back(std::make_unique<TestInstance>(store, n));
        }
        for (const auto &it : instances) {
            REQUIRE(it->awaitReady());
        }
        constexpr Milliseconds ListReadTime{1500};
        std::this_thread::sleep_for(ListReadTime);
    }

    bool hasRun(const std::string &id) const
    {
        for (const ReceivedRequest &request : endpoint.requests()) {
            if (request.head.fields.value("X-Attempt-Id") == id) {
                return true;
            }
        }
        return false;
    }

    KvStandIn store;
    ScriptedEndpoint endpoint{respondSlowly};
    TestArchive first{store, 1};
    TestArchive second{store, 2};
    std::vector<std::unique_ptr<TestInstance>> instances;
};
} // namespace

// Guards against turns that are cut, or wrongly called not run, because their home stops while their own instance does.
TEST_CASE_METHOD(Deployment, "Planned stops that overlap cut off no turn, also in an outage of the store", "[platform][stop]")
{
    const bool isStoreAway = GENERATE(false, true);
    constexpr int CallersPerInstance = 8;
    std::atomic<bool> mayGoOn{true};
    std::vector<SeenTurns> seen(instances.size() * CallersPerInstance);
    std::vector<std::thread> callers;
    for (std::size_t n = 0; n < seen.size(); ++n) {
        callers.emplace_back([&, n] { seen[n] = sendTurns(*instances[n % instances.size()], fmt::format("p{}", n), mayGoOn); });
    }
    std::this_thread::sleep_for(Milliseconds(1000));
    instances[0]->process().sendSignal(SIGTERM);
    std::this_thread::sleep_for(Milliseconds(300));
    if (isStoreAway) {
        store.setFault(KvStandIn::Fault::Unavailable);
    }
    for (const auto &it : instances) {
        it->process().sendSignal(SIGHUP);
    }
    std::this_thread::sleep_for(Milliseconds(700));
    instances[1]->process().sendSignal(SIGTERM);
    std::this_thread::sleep_for(Milliseconds(2000));
    store.setFault(KvStandIn::Fault::None);
    CHECK(instances[0]->process().terminate(GraceSeconds) == 0);
    CHECK(instances[1]->process().terminate(GraceSeconds) == 0);
    mayGoOn = false;
    for (std::thread &it : callers) {
        it.join();
    }
    int answered = 0;
    int refused = 0;
    for (std::size_t n = 0; n < seen.size(); ++n) {
        const SeenTurns &it = seen[n];
        INFO("store away " << isStoreAway << ", caller " << n << " of instance " << n % instances.size() << ": " << it.answered << " answered, " << it.refused
                           << " refused");
        answered += it.answered;
        refused += it.refused;
        CHECK(it.cutOff == 0);
        CHECK(it.failed == 0);
        for (const std::string &id : it.refusedIds) {
            INFO(id);
            CHECK_FALSE(hasRun(id));
        }
        for (const std::string &id : it.unansweredIds) {
            INFO(id);
            CHECK_FALSE(hasRun(id));
        }
    }
    INFO(answered << " answered, " << refused << " refused");
    CHECK(answered > static_cast<int>(seen.size()));
}
