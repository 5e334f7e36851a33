#include "platform/testinstance.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <memory>

using namespace flamingo;

// A sound endpoint that acknowledges nothing for a second or so, and then goes on.

namespace
{
using Connection = ScriptedEndpoint::Connection;

const std::string EventStream = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

/// An instance with one endpoint.
struct Fixture {
    explicit Fixture(ScriptedEndpoint::Script script)
        : endpoint(std::move(script))
    {
        store.put("op/config", testConfiguration(1));
        registerEndpoint(store, "i-1", endpoint);
        instance = std::make_unique<TestInstance>(store, 1);
        REQUIRE(instance->awaitReady());
    }

    ScriptedEndpoint endpoint;
    KvStandIn store;
    std::unique_ptr<TestInstance> instance;
};

/// The endpoint is silent when TCP asks whether it is still there, and writes its second event later than the next probe is due.
void streamWithSilence(Connection &connection, const ReceivedRequest &request)
{
    connection.write(ScriptedEndpoint::responseHead(request, EventStream));
    connection.write(ScriptedEndpoint::chunk(ScriptedEndpoint::event(1, "one")));
    connection.fallSilent(Milliseconds(200), Milliseconds(1400));
    connection.writeLater(Milliseconds(2400), ScriptedEndpoint::chunk(ScriptedEndpoint::event(2, "two")) + "0\r\n\r\n");
}

const std::string WholeStream = ScriptedEndpoint::event(1, "one") + ScriptedEndpoint::event(2, "two");
} // namespace

TEST_CASE("An answer isn't cut off because its endpoint is silent for a second", "[platform][silent]")
{
    Fixture it(streamWithSilence);
    const CallerResponse response = it.instance->send(callerRequest("/chat/a", "silent"));
    CHECK(response.status == 200);
    CHECK(response.isComplete);
    CHECK(response.body == WholeStream);
    CHECK(it.endpoint.requests().size() == 1);
}

TEST_CASE("An answer isn't cut off in a planned stop because its endpoint is silent for a second", "[platform][silent]")
{
    Fixture it(streamWithSilence);
    CallerConnection connection = it.instance->connect();
    REQUIRE(connection.send(callerRequest("/chat/a", "stopped")));
    REQUIRE(eventually([&] { return it.endpoint.requests().size() == 1; }));
    it.instance->process().sendSignal(SIGTERM);
    const CallerResponse response = connection.read();
    CHECK(response.status == 200);
    CHECK(response.isComplete);
    CHECK(response.body == WholeStream);
}

TEST_CASE("A request that mustn't be repeated waits for an endpoint that is silent for a second", "[platform][silent]")
{
    Fixture it([](Connection &connection, const ReceivedRequest &request) {
        connection.write(ScriptedEndpoint::response(request, "done"));
        connection.fallSilent(Milliseconds(0), Milliseconds(1300));
    });
    CHECK(it.instance->send(callerRequest("/book/a", "first")).status == 200);
    // On the connection that was kept: it isn't acknowledged before the silence ends.
    const CallerResponse response = it.instance->send(callerRequest("/book/a", "second"));
    CHECK(response.status == 200);
    CHECK(response.body == "done");
    CHECK(it.endpoint.requests().size() == 2);
}

TEST_CASE("A resumable stream is whole though its only endpoint is silent for a second", "[platform][silent][silent-resumable]")
{
    Fixture it(streamWithSilence);
    const CallerResponse response = it.instance->send(callerRequest("/stream/a", "silent"));
    CHECK(response.status == 200);
    CHECK(response.isComplete);
    CHECK(response.body == WholeStream);
    CHECK(it.endpoint.requests().size() == 1);
}
