#include "platform/testinstance.h"

#include <asio.hpp>
#include <catch2/catch.hpp>

#include <csignal>
#include <memory>
#include <thread>

using namespace flamingo;

// Requests on a connection that the instance is about to close in a planned stop, and whose caller hasn't been told so.

namespace
{
const std::string EventStream = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

struct Fixture {
    Fixture()
        : endpoint([](ScriptedEndpoint::Connection &connection, const ReceivedRequest &request) {
            if (request.head.target == "/chat/a") {
                connection.write(ScriptedEndpoint::responseHead(request, EventStream) + ScriptedEndpoint::chunk(ScriptedEndpoint::event(1, "begin")));
                const bool isLong = request.head.fields.value("X-Attempt-Id") == "long";
                connection.writeLater(Milliseconds(isLong ? 2600 : 500), ScriptedEndpoint::chunk(ScriptedEndpoint::event(2, "end")) + "0\r\n\r\n");
            } else {
                connection.write(ScriptedEndpoint::response(request, "done"));
            }
        })
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
} // namespace

TEST_CASE("A request that follows a stream whose head didn't announce the close is answered", "[platform][stop]")
{
    Fixture it;
    for (const std::string path : {"/book/a", "/ask/a"}) {
        INFO(path);
        CallerConnection connection = it.instance->connect();
        REQUIRE(connection.send(callerRequest("/chat/a", "stream" + path.substr(1, 1))));
        std::this_thread::sleep_for(Milliseconds(200));
        it.instance->process().sendSignal(SIGTERM);
        const CallerResponse stream = connection.read();
        REQUIRE(stream.isComplete);
        REQUIRE(stream.fields.find("Connection") == nullptr);
        // It was on its way when the stream ended, or is sent by a caller that the close hasn't reached yet.
        REQUIRE(connection.send(callerRequest(path, "next" + path.substr(1, 1))));
        const CallerResponse next = connection.read();
        CHECK(next.status == 200);
        CHECK(next.body == "done");
        CHECK(next.fields.value("Connection") == "close");
        it.instance->killAndRestart();
        REQUIRE(it.instance->awaitReady());
    }
}

TEST_CASE("A request that crosses the close of an idle connection is left unread, so that its caller gets a reset", "[platform][stop]")
{
    Fixture it;
    asio::io_context context;
    asio::ip::tcp::socket idle(context);
    idle.connect({asio::ip::make_address(TestInstance::address(1)), TestInstance::CallersPort});
    asio::write(idle, asio::buffer(callerRequest("/ask/a", "first")));
    std::string response;
    REQUIRE(asio::read_until(idle, asio::dynamic_buffer(response), "done") > 0);
    CallerConnection busy = it.instance->connect();
    it.instance->process().sendSignal(SIGTERM);
    // Another caller's stream keeps the process running when idle connections are closed, 2.6 s after the signal.
    std::this_thread::sleep_for(Milliseconds(1000));
    REQUIRE(busy.send(callerRequest("/chat/a", "long")));
    std::this_thread::sleep_for(Milliseconds(1900));
    asio::error_code ec;
    asio::write(idle, asio::buffer(callerRequest("/ask/a", "crossing")), ec);
    std::this_thread::sleep_for(Milliseconds(100));
    // Once the reset has arrived, nothing more can be sent.
    asio::write(idle, asio::buffer(std::string("x")), ec);
    CHECK(ec);
    CHECK(busy.read().isComplete);
    CHECK(it.endpoint.requests().size() == 2);
}
