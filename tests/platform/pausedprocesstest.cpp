#include "core/loopthread.h"
#include "http/connectionpool.h"
#include "platform/testinstance.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <future>
#include <optional>
#include <thread>

using namespace flamingo;

// A process may be paused for seconds at any point. What it was allowed to do before may not be allowed any more.

namespace
{
using Connection = ScriptedEndpoint::Connection;

/// Longer than the routes' timeout of three seconds.
constexpr Milliseconds PauseTime{3300};

bool hasReceived(const ScriptedEndpoint &endpoint, const std::string &id)
{
    const auto requests = endpoint.requests();
    return std::any_of(requests.begin(), requests.end(), [&](const ReceivedRequest &it) { return it.head.fields.value("X-Attempt-Id") == id; });
}

/// One caller's request, sent on a thread of its own.
struct PendingCall {
    PendingCall(const TestInstance &instance, std::string attemptId)
        : id(std::move(attemptId))
        , thread([this, &instance] { response = instance.send(callerRequest("/book/a", id), Milliseconds(6000)); })
    {
    }

    std::string id;
    CallerResponse response;
    std::thread thread;
};
} // namespace

TEST_CASE("After a pause an instance doesn't send requests whose time has run out meanwhile", "[platform][paused]")
{
    constexpr int CallCount = 30;
    // The responses arrive during the pause, so that on waking up the process finds them together with the expired timers.
    ScriptedEndpoint endpoint(
        [](Connection &connection, const ReceivedRequest &request) { connection.writeLater(Milliseconds(1500), ScriptedEndpoint::response(request, "ok")); });
    KvStandIn store;
    store.put("op/config", testConfiguration(1));
    registerEndpoint(store, "i-1", endpoint);
    TestInstance instance(store, 1);
    REQUIRE(instance.awaitReady());
    std::vector<std::unique_ptr<PendingCall>> calls;
    for (int n = 0; n < CallCount; ++n) {
        calls.push_back(std::make_unique<PendingCall>(instance, fmt::format("p{}", n)));
    }
    std::this_thread::sleep_for(Milliseconds(700));
    const std::size_t sentBefore = endpoint.requests().size();
    CHECK(sentBefore < CallCount);
    instance.process().sendSignal(SIGSTOP);
    std::this_thread::sleep_for(PauseTime);
    instance.process().sendSignal(SIGCONT);
    std::this_thread::sleep_for(Milliseconds(1000));
    CHECK(endpoint.requests().size() == sentBefore);
    for (const auto &it : calls) {
        it->thread.join();
        INFO("request " << it->id << " status " << it->response.status);
        const bool isReportedNotRun = it->response.status == 503;
        CHECK_FALSE((isReportedNotRun && hasReceived(endpoint, it->id)));
        CHECK((isReportedNotRun || hasReceived(endpoint, it->id)));
    }
}

TEST_CASE("A request whose connection is there too late is not sent", "[platform][paused]")
{
    ScriptedEndpoint endpoint([](Connection &connection, const ReceivedRequest &request) { connection.write(ScriptedEndpoint::response(request, "ok")); });
    LoopThread thread;
    auto connections = std::make_unique<ConnectionPool>(thread.loop.context(), ConnectionPool::Settings());
    const auto send = [&](Instant sendBy) {
        auto outcome = std::make_shared<std::promise<std::optional<RequestFailure::Kind>>>();
        auto future = outcome->get_future();
        thread.call([&] {
            ClientRequest request;
            request.address = endpoint.address();
            request.head.method = "GET";
            request.head.target = "/";
            request.maxIdleTime = Milliseconds(1000);
            request.sendBy = sendBy;
            ResponseHandlers handlers;
            handlers.onComplete = [outcome] { outcome->set_value(std::nullopt); };
            handlers.onFailure = [outcome](const RequestFailure &failure) { outcome->set_value(failure.kind); };
            connections->send(std::move(request), std::move(handlers));
        });
        return future.get();
    };
    const Instant past = std::chrono::steady_clock::now() - Milliseconds(1);
    CHECK(send(past) == RequestFailure::Kind::NotSent);
    CHECK_FALSE(send(Instant::max()));
    CHECK(send(past) == RequestFailure::Kind::NotSent); // On the connection that is idle.
    CHECK(endpoint.requests().size() == 1);
    thread.call([&] { connections.reset(); });
    thread.stop();
}

TEST_CASE("After a pause an instance doesn't use a budget that another one has been granted", "[platform][paused]")
{
    constexpr int Budget = 232;
    constexpr int MaxTokens = 58;
    ScriptedEndpoint endpoint([](Connection &connection, const ReceivedRequest &request) {
        connection.write(ScriptedEndpoint::responseHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
        connection.write(ScriptedEndpoint::chunk(ScriptedEndpoint::event(1, "one") + ScriptedEndpoint::event(2, "two")) + "0\r\n\r\n");
    });
    KvStandIn store;
    store.put("op/config", testConfiguration(1));
    registerEndpoint(store, "i-1", endpoint);
    TestInstance first(store, 1);
    TestInstance second(store, 2);
    REQUIRE(first.awaitReady());
    REQUIRE(second.awaitReady());
    const std::string headers = fmt::format(
        "X-Program-Id: p1\r\nX-Session-Id: s\r\nX-Token-Budget: {}\r\nX-Token-Usage: 110,{}\r\nX-Prompt-Prefix: aa:100,b1:10\r\n", Budget, MaxTokens);
    int served = 0;
    int n = 0;
    const auto turn = [&](const TestInstance &instance) {
        const CallerResponse response = instance.send(callerRequest("/stream/a", fmt::format("t{}", ++n), headers), Milliseconds(3500));
        served += response.status == 200 ? 1 : 0;
        return response.status;
    };
    CHECK(turn(first) == 200);
    first.process().sendSignal(SIGSTOP);
    for (int k = 0; k < 6; ++k) {
        turn(second);
    }
    first.process().sendSignal(SIGCONT);
    for (int k = 0; k < 6; ++k) {
        turn(first);
        turn(second);
    }
    CHECK(served * 58 <= Budget + MaxTokens);
    CHECK(served * 58 >= MaxTokens);
}
