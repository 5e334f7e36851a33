#include "instance/homeservice.h"
#include "platform/testinstance.h"

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <csignal>
#include <vector>

using namespace flamingo;

namespace
{
constexpr int MaxTokensOfTurn = 290;
constexpr int Turns = 10;
constexpr int Budget = Turns * MaxTokensOfTurn;
const std::string Program = "p1";

/// Each turn uses all its tokens.
void respondWithTurn(ScriptedEndpoint::Connection &connection, const ReceivedRequest &request)
{
    constexpr int TokensOfEvent = 29;
    constexpr int EventsOfTurn = MaxTokensOfTurn / TokensOfEvent;
    std::string events;
    for (int n = 1; n <= EventsOfTurn; ++n) {
        events += ScriptedEndpoint::event(n, "part");
    }
    connection.write(ScriptedEndpoint::responseHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
                     + ScriptedEndpoint::chunk(events) + "0\r\n\r\n");
}

std::string turnRequest(int turn)
{
    const std::string headerLines = fmt::format("X-Program-Id: {}\r\nX-Token-Budget: {}\r\nX-Token-Usage: 100,{}\r\n", Program, Budget, MaxTokensOfTurn);
    return callerRequest("/stream/x", fmt::format("{}-{}", Program, turn), headerLines);
}

/// Sends the request by which another instance begins a turn, and disconnects before the response, as after a time-out.
void beginAndAbandonTurn(int instance)
{
    BeginTurnRequest begin;
    begin.program = ProgramId(Program);
    begin.budget = Tokens(Budget);
    begin.maxTokens = Tokens(MaxTokensOfTurn);
    const std::string body = begin.encode();
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address(TestInstance::address(instance)), TestInstance::PeerPort});
    const std::string head =
        fmt::format("POST {} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n\r\n", HomeClient::BeginTurnPath, TestInstance::address(instance), body.size());
    asio::write(socket, asio::buffer(head + body));
}
} // namespace

// Guards against tokens that stay reserved for turns that nobody runs: a home that was frozen reads requests whose senders have
// given up and have sent the turns elsewhere.
TEST_CASE("Turns that were abandoned while their home was frozen take nothing of the budget", "[platform][abandoned-turns]")
{
    constexpr int AbandonedTurns = 4;
    KvStandIn store;
    ScriptedEndpoint endpoint{respondWithTurn};
    store.put("op/config", testConfiguration(1));
    registerEndpoint(store, "i-1", endpoint);
    TestInstance instance(store, 1);
    REQUIRE(instance.awaitReady());
    REQUIRE(instance.send(turnRequest(1)).status == 200);
    instance.process().sendSignal(SIGSTOP);
    for (int n = 0; n < AbandonedTurns; ++n) {
        beginAndAbandonTurn(1);
    }
    instance.process().sendSignal(SIGCONT);
    std::vector<int> statuses;
    for (int turn = 2; turn <= Turns; ++turn) {
        statuses.push_back(instance.send(turnRequest(turn)).status);
    }
    CHECK(statuses == std::vector<int>(Turns - 1, 200));
}
