#include "platform/testinstance.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <set>

using namespace flamingo;

namespace
{
using Connection = ScriptedEndpoint::Connection;

constexpr Milliseconds DisconnectLimit{500};

/// An instance with one scripted endpoint.
struct Fixture {
    explicit Fixture(ScriptedEndpoint::Script script)
        : endpoint(std::move(script))
        , store()
    {
        store.put("op/config", testConfiguration(4));
        registerEndpoint(store, "i-1", endpoint);
        instance = std::make_unique<TestInstance>(store, 1);
        REQUIRE(instance->awaitReady());
    }

    ScriptedEndpoint endpoint;
    KvStandIn store;
    std::unique_ptr<TestInstance> instance;
};
} // namespace

TEST_CASE("The endpoint's response is passed on unchanged", "[platform]")
{
    Fixture it(
        [](Connection &connection, const ReceivedRequest &request) { connection.write(ScriptedEndpoint::response(request, "booked " + request.body, 201)); });
    const CallerResponse response =
        it.instance->send(callerRequest("/book/truck?n=1", "a1", "X-Request-Priority: 0\r\nKv-From: 1.2.3.4:5/x\r\nX-Other: y\r\n"));
    CHECK(response.status == 201);
    CHECK(response.isComplete);
    CHECK(response.body == "booked x");
    CHECK(response.fields.value("X-Server-Signature") == "proof");
    const auto requests = it.endpoint.requests();
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].head.target == "/book/truck?n=1");
    CHECK(requests[0].head.fields.value("X-Expected-Instance") == "i-1");
    CHECK(requests[0].head.fields.value("X-Other") == "y");
    CHECK(requests[0].head.fields.find("Kv-From") == nullptr);
    CHECK(requests[0].head.fields.find("X-Request-Priority") == nullptr);
    CHECK(std::stoi(requests[0].head.fields.value("X-Deadline-Ms")) <= 3000);
}

TEST_CASE("A non-repeatable request whose response is lost runs once and is not reported as not run", "[platform]")
{
    Fixture it([](Connection &connection, const ReceivedRequest &request) {
        if (request.body == "first") {
            connection.write(ScriptedEndpoint::response(request, "ok"));
        } else {
            connection.close();
        }
    });
    // The first request leaves an idle connection. An HTTP client with automatic retries would send the second one on it twice.
    CHECK(it.instance->send(callerRequest("/book/a", "a1", {}, "first")).status == 200);
    const CallerResponse response = it.instance->send(callerRequest("/book/a", "a2", {}, "second"));
    CHECK(response.status == 502);
    CHECK(it.endpoint.requests().size() == 2);
}

TEST_CASE("A request that an endpoint has not run is retried at another one", "[platform]")
{
    ScriptedEndpoint full([](Connection &connection, const ReceivedRequest &request) {
        connection.write(ScriptedEndpoint::responseHead(request, "X-Not-Executed: 1\r\nContent-Length: 0\r\n", 503));
    });
    Fixture it([](Connection &connection, const ReceivedRequest &request) { connection.write(ScriptedEndpoint::response(request, "ok")); });
    registerEndpoint(it.store, "i-2", full);
    for (int n = 0; n < 6; ++n) {
        CHECK(it.instance->send(callerRequest("/book/a", "b" + std::to_string(n))).status == 200);
    }
    CHECK(it.endpoint.requests().size() == 6);
}

TEST_CASE("A request is not run by another endpoint that has taken over the address", "[platform]")
{
    ScriptedEndpoint other([](Connection &connection, const ReceivedRequest &request) {
        connection.write(fmt::format("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {}\r\nX-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n",
                                     request.head.fields.value("X-Attempt-Id")));
    });
    Fixture it([](Connection &connection, const ReceivedRequest &request) { connection.write(ScriptedEndpoint::response(request, "ok")); });
    it.store.remove("servers/i-1");
    registerEndpoint(it.store, "i-2", other);
    REQUIRE(eventually([&] { return it.instance->send(callerRequest("/book/a", "c1")).status == 503; }));
    const CallerResponse response = it.instance->send(callerRequest("/book/a", "c2"));
    CHECK(response.status == 503);
    CHECK(response.fields.find("Retry-After") != nullptr);
}

TEST_CASE("When a caller disconnects, its call to the endpoint is cancelled within half a second", "[platform]")
{
    Fixture it([](Connection &, const ReceivedRequest &) {});
    it.instance->sendAndDisconnect(callerRequest("/stream/a", "d1"), Milliseconds(100));
    CHECK(eventually([&] { return it.endpoint.connectionsClosedByCaller() == 1; }, DisconnectLimit));
    CHECK(it.endpoint.requests().size() == 1);
}

TEST_CASE("Events are forwarded as they arrive, and an interrupted stream never looks complete", "[platform]")
{
    Fixture it([](Connection &connection, const ReceivedRequest &request) {
        connection.write(ScriptedEndpoint::responseHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
        connection.write(ScriptedEndpoint::chunk(ScriptedEndpoint::event(1, "one") + "id: 2\nda"));
        connection.closeLater(Milliseconds(100));
    });
    const CallerResponse response = it.instance->send(callerRequest("/chat/a", "e1"));
    CHECK(response.status == 200);
    CHECK(response.body == ScriptedEndpoint::event(1, "one"));
    CHECK_FALSE(response.isComplete);
}

TEST_CASE("A resumable stream continues at another endpoint after its last event", "[platform]")
{
    const auto script = [](Connection &connection, const ReceivedRequest &request) {
        connection.write(ScriptedEndpoint::responseHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
        if (request.head.fields.value("Last-Event-Id") == "1") {
            connection.write(ScriptedEndpoint::chunk(ScriptedEndpoint::event(2, "two")) + "0\r\n\r\n");
        } else {
            connection.write(ScriptedEndpoint::chunk(ScriptedEndpoint::event(1, "one") + "id: 2\nda"));
            connection.close();
        }
    };
    ScriptedEndpoint second(script);
    Fixture it(script);
    registerEndpoint(it.store, "i-2", second);
    REQUIRE(eventually([&] { return it.instance->log().find("endpoint=i-2") != std::string::npos; }));
    const CallerResponse response = it.instance->send(callerRequest("/stream/a", "f1"));
    CHECK(response.isComplete);
    CHECK(response.body == ScriptedEndpoint::event(1, "one") + ScriptedEndpoint::event(2, "two"));
}

TEST_CASE("Duplicate and late responses on a reused connection are discarded", "[platform]")
{
    Fixture it([](Connection &connection, const ReceivedRequest &request) {
        const std::string own = ScriptedEndpoint::response(request, "own " + request.body);
        if (request.body == "doubled") {
            connection.write(own + own);
        } else if (request.body == "late") {
            connection.write(own);
            connection.writeLater(Milliseconds(150), own);
        } else {
            connection.writeLater(Milliseconds(300), own);
        }
    });
    for (const std::string body : {"doubled", "plain", "late", "plain", "plain"}) {
        static int n = 0;
        const CallerResponse response = it.instance->send(callerRequest("/ask/a", "g" + std::to_string(++n), {}, body));
        CHECK(response.status == 200);
        CHECK(response.body == "own " + body);
    }
}

// Guards against a request that runs at more endpoints than its route allows, after an answer was lost on a reused connection.
TEST_CASE("A request runs at no more endpoints than its route allows", "[platform]")
{
    constexpr int Endpoints = 4;
    constexpr int Requests = 120;
    std::vector<std::unique_ptr<ScriptedEndpoint>> pool;
    KvStandIn store;
    store.put(
        "op/config",
        testConfiguration(
            1,
            R"(,{"name":"r-single","host":"h.example","prefix":"/single/","type":"idempotent","timeout-ms":3000,"slo-ms":250,"priority":0,"service":"app","max-attempts":1})"));
    std::atomic<int> received{0};
    for (int n = 1; n <= Endpoints; ++n) {
        pool.push_back(std::make_unique<ScriptedEndpoint>([&](Connection &connection, const ReceivedRequest &request) {
            if (++received % 5 == 0) {
                connection.close();
            } else {
                connection.write(ScriptedEndpoint::response(request, "ok"));
            }
        }));
        registerEndpoint(store, "i-" + std::to_string(n), *pool.back());
    }
    TestInstance instance(store, 1);
    REQUIRE(instance.awaitReady());
    int answered = 0;
    for (int n = 0; n < Requests; ++n) {
        answered += instance.send(callerRequest("/single/a", "m" + std::to_string(n))).status == 200 ? 1 : 0;
    }
    std::map<std::string, int> endpointsOf;
    for (const auto &endpoint : pool) {
        std::set<std::string> ids;
        for (const ReceivedRequest &it : endpoint->requests()) {
            ids.insert(it.head.fields.value("X-Attempt-Id"));
        }
        for (const std::string &id : ids) {
            ++endpointsOf[id];
        }
    }
    CHECK(std::all_of(endpointsOf.begin(), endpointsOf.end(), [](const auto &it) { return it.second == 1; }));
    CHECK(answered > Requests * 3 / 4);
}

TEST_CASE("A connection with a keep-alive timeout of zero is not reused", "[platform]")
{
    Fixture it([](Connection &connection, const ReceivedRequest &request) {
        connection.write(ScriptedEndpoint::responseHead(request, "Keep-Alive: timeout=0\r\nContent-Length: 2\r\n") + "ok");
        connection.closeLater(Milliseconds(20));
    });
    for (int n = 0; n < 10; ++n) {
        CHECK(it.instance->send(callerRequest("/book/a", "k" + std::to_string(n))).status == 200);
    }
    CHECK(it.endpoint.requests().size() == 10);
}

TEST_CASE("Unsigned and malformed responses are not accepted", "[platform]")
{
    Fixture it([](Connection &connection, const ReceivedRequest &request) {
        if (request.body == "unsigned") {
            connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.head.fields.value("X-Attempt-Id") + "\r\nContent-Length: 2\r\n\r\nok");
        } else {
            connection.write("\x01\x02 nonsense\r\n\r\n");
        }
    });
    CHECK(it.instance->send(callerRequest("/book/a", "h1", {}, "unsigned")).status == 502);
    CHECK(it.instance->send(callerRequest("/book/a", "h2", {}, "nonsense")).status == 502);
}

TEST_CASE("Malformed requests get an error status and don't affect later ones", "[platform]")
{
    Fixture it([](Connection &connection, const ReceivedRequest &request) { connection.write(ScriptedEndpoint::response(request, "ok")); });
    CHECK(it.instance->send(callerRequest("/nowhere/a", "i1")).status == 404);
    CHECK(it.instance->send("nonsense\r\n\r\n").status == 400);
    CHECK(it.instance->send("POST /book/a HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: i2\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
              .status
          == 400);
    CHECK(it.instance->send("POST /book/a HTTP/1.1\r\nHost: h.example\r\nX-Pad: " + std::string(20000, 'x') + "\r\n\r\n").status == 431);
    CHECK(it.instance->send(callerRequest("/book/a", "i3", {}, std::string(100001, 'x'))).status == 413);
    CHECK(it.instance->send("POST /book/a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n").status == 400);
    CHECK(it.endpoint.requests().empty());
    const std::string chunked =
        "POST /book/a HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: i4\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    CHECK(it.instance->send(chunked).status == 200);
    REQUIRE(it.endpoint.requests().size() == 1);
    CHECK(it.endpoint.requests()[0].body == "abcde");
}

TEST_CASE("A planned stop lets requests in progress finish", "[platform]")
{
    Fixture it(
        [](Connection &connection, const ReceivedRequest &request) { connection.writeLater(Milliseconds(800), ScriptedEndpoint::response(request, "ok")); });
    CallerResponse response;
    std::thread caller([&] { response = it.instance->send(callerRequest("/book/a", "j1")); });
    REQUIRE(eventually([&] { return it.endpoint.requests().size() == 1; }));
    it.instance->process().sendSignal(SIGTERM);
    CHECK(eventually([&] { return !it.instance->isReady(); }, Milliseconds(500)));
    const CallerResponse later = it.instance->send(callerRequest("/book/a", "j2"));
    caller.join();
    CHECK(response.status == 200);
    CHECK(response.isComplete);
    CHECK(later.status == 200);
    CHECK(later.fields.value("Connection") == "close");
    CHECK(it.instance->process().terminate(8) == 0);
}
