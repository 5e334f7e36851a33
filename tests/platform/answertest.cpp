#include "platform/testinstance.h"

#include <catch2/catch.hpp>

using namespace flamingo;

namespace
{
using Peer = ScriptedEndpoint::Peer;

constexpr Milliseconds GoneLimit{500};

/// An instance with one endpoint that follows a script.
struct Fixture {
    explicit Fixture(ScriptedEndpoint::Script script)
        : endpoint(std::move(script))
        , store()
    {
        store.put("op/config", testConfiguration(4));
        enterEndpoint(store, "i-1", endpoint);
        instance = std::make_unique<TestInstance>(store, 1);
        REQUIRE(instance->awaitReady());
    }

    ScriptedEndpoint endpoint;
    KvStandin store;
    std::unique_ptr<TestInstance> instance;
};
} // namespace

TEST_CASE("An answer comes back as the endpoint gave it", "[platform]")
{
    Fixture it([](Peer &peer, const ReceivedRequest &request) { peer.write(ScriptedEndpoint::answer(request, "booked " + request.body, 201)); });
    const CallerAnswer answer = it.instance->send(callerRequest("/book/truck?n=1", "a1", "X-Request-Priority: 0\r\nKv-From: 1.2.3.4:5/x\r\nX-Other: y\r\n"));
    CHECK(answer.status == 201);
    CHECK(answer.isWhole);
    CHECK(answer.body == "booked x");
    CHECK(answer.fields.value("X-Server-Signature") == "proof");
    const auto requests = it.endpoint.requests();
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].head.target == "/book/truck?n=1");
    CHECK(requests[0].head.fields.value("X-Expected-Instance") == "i-1");
    CHECK(requests[0].head.fields.value("X-Other") == "y");
    CHECK(requests[0].head.fields.find("Kv-From") == nullptr);
    CHECK(requests[0].head.fields.find("X-Request-Priority") == nullptr);
    CHECK(std::stoi(requests[0].head.fields.value("X-Deadline-Ms")) <= 3000);
}

TEST_CASE("A request that must not be repeated runs once when its answer is lost, and isn't said not to have run", "[platform]")
{
    Fixture it([](Peer &peer, const ReceivedRequest &request) {
        if (request.body == "first") {
            peer.write(ScriptedEndpoint::answer(request, "ok"));
        } else {
            peer.close();
        }
    });
    // The first call leaves a kept connection, on which a client that repeats by itself would send twice.
    CHECK(it.instance->send(callerRequest("/book/a", "a1", {}, "first")).status == 200);
    const CallerAnswer answer = it.instance->send(callerRequest("/book/a", "a2", {}, "second"));
    CHECK(answer.status == 502);
    CHECK(it.endpoint.requests().size() == 2);
}

TEST_CASE("A request that an endpoint has not run goes to another one", "[platform]")
{
    ScriptedEndpoint full(
        [](Peer &peer, const ReceivedRequest &) { peer.write("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"); });
    Fixture it([](Peer &peer, const ReceivedRequest &request) { peer.write(ScriptedEndpoint::answer(request, "ok")); });
    enterEndpoint(it.store, "i-2", full);
    for (int n = 0; n < 6; ++n) {
        CHECK(it.instance->send(callerRequest("/book/a", "b" + std::to_string(n))).status == 200);
    }
    CHECK(it.endpoint.requests().size() == 6);
}

TEST_CASE("An address that another endpoint has now doesn't get the request", "[platform]")
{
    ScriptedEndpoint other(
        [](Peer &peer, const ReceivedRequest &) { peer.write("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n"); });
    Fixture it([](Peer &peer, const ReceivedRequest &request) { peer.write(ScriptedEndpoint::answer(request, "ok")); });
    it.store.remove("servers/i-1");
    enterEndpoint(it.store, "i-2", other);
    REQUIRE(eventually([&] { return it.instance->send(callerRequest("/book/a", "c1")).status == 503; }));
    const CallerAnswer answer = it.instance->send(callerRequest("/book/a", "c2"));
    CHECK(answer.status == 503);
    CHECK(answer.fields.find("Retry-After") != nullptr);
}

TEST_CASE("A caller that leaves ends the endpoint's work within half a second", "[platform]")
{
    Fixture it([](Peer &, const ReceivedRequest &) {});
    it.instance->sendAndLeave(callerRequest("/stream/a", "d1"), Milliseconds(100));
    CHECK(eventually([&] { return it.endpoint.closedByCaller() == 1; }, GoneLimit));
    CHECK(it.endpoint.requests().size() == 1);
}

TEST_CASE("A stream is passed on as it comes, and one that breaks off never looks complete", "[platform]")
{
    Fixture it([](Peer &peer, const ReceivedRequest &request) {
        peer.write(ScriptedEndpoint::answerHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
        peer.write(ScriptedEndpoint::chunk(ScriptedEndpoint::event(1, "one") + "id: 2\nda"));
        peer.closeLater(Milliseconds(100));
    });
    const CallerAnswer answer = it.instance->send(callerRequest("/chat/a", "e1"));
    CHECK(answer.status == 200);
    CHECK(answer.body == ScriptedEndpoint::event(1, "one"));
    CHECK_FALSE(answer.isWhole);
}

TEST_CASE("A stream that may be resumed goes on at another endpoint behind its last event", "[platform]")
{
    const auto script = [](Peer &peer, const ReceivedRequest &request) {
        peer.write(ScriptedEndpoint::answerHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
        if (request.head.fields.value("Last-Event-Id") == "1") {
            peer.write(ScriptedEndpoint::chunk(ScriptedEndpoint::event(2, "two")) + "0\r\n\r\n");
        } else {
            peer.write(ScriptedEndpoint::chunk(ScriptedEndpoint::event(1, "one") + "id: 2\nda"));
            peer.close();
        }
    };
    ScriptedEndpoint second(script);
    Fixture it(script);
    enterEndpoint(it.store, "i-2", second);
    REQUIRE(eventually([&] { return it.instance->log().find("endpoint=i-2") != std::string::npos; }));
    const CallerAnswer answer = it.instance->send(callerRequest("/stream/a", "f1"));
    CHECK(answer.isWhole);
    CHECK(answer.body == ScriptedEndpoint::event(1, "one") + ScriptedEndpoint::event(2, "two"));
}

TEST_CASE("A second and a late answer on a kept connection reach nobody", "[platform]")
{
    Fixture it([](Peer &peer, const ReceivedRequest &request) {
        const std::string own = ScriptedEndpoint::answer(request, "own " + request.body);
        if (request.body == "doubled") {
            peer.write(own + own);
        } else if (request.body == "late") {
            peer.write(own);
            peer.writeLater(Milliseconds(150), own);
        } else {
            peer.writeLater(Milliseconds(300), own);
        }
    });
    for (const std::string body : {"doubled", "plain", "late", "plain", "plain"}) {
        static int n = 0;
        const CallerAnswer answer = it.instance->send(callerRequest("/ask/a", "g" + std::to_string(++n), {}, body));
        CHECK(answer.status == 200);
        CHECK(answer.body == "own " + body);
    }
}

TEST_CASE("A connection that the endpoint keeps for no time isn't used again", "[platform]")
{
    Fixture it([](Peer &peer, const ReceivedRequest &request) {
        peer.write(ScriptedEndpoint::answerHead(request, "Keep-Alive: timeout=0\r\nContent-Length: 2\r\n") + "ok");
        peer.closeLater(Milliseconds(20));
    });
    for (int n = 0; n < 10; ++n) {
        CHECK(it.instance->send(callerRequest("/book/a", "k" + std::to_string(n))).status == 200);
    }
    CHECK(it.endpoint.requests().size() == 10);
}

TEST_CASE("An unsigned success and a reset answer without a length are no answers", "[platform]")
{
    Fixture it([](Peer &peer, const ReceivedRequest &request) {
        if (request.body == "unsigned") {
            peer.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.head.fields.value("X-Attempt-Id") + "\r\nContent-Length: 2\r\n\r\nok");
        } else {
            peer.write("\x01\x02 nonsense\r\n\r\n");
        }
    });
    CHECK(it.instance->send(callerRequest("/book/a", "h1", {}, "unsigned")).status == 502);
    CHECK(it.instance->send(callerRequest("/book/a", "h2", {}, "nonsense")).status == 502);
}

TEST_CASE("Bad requests get a clear answer and nothing else suffers", "[platform]")
{
    Fixture it([](Peer &peer, const ReceivedRequest &request) { peer.write(ScriptedEndpoint::answer(request, "ok")); });
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

TEST_CASE("A planned stop cuts off nothing", "[platform]")
{
    Fixture it([](Peer &peer, const ReceivedRequest &request) { peer.writeLater(Milliseconds(800), ScriptedEndpoint::answer(request, "ok")); });
    CallerAnswer answer;
    std::thread caller([&] { answer = it.instance->send(callerRequest("/book/a", "j1")); });
    REQUIRE(eventually([&] { return it.endpoint.requests().size() == 1; }));
    it.instance->process().signal(SIGTERM);
    CHECK(eventually([&] { return !it.instance->isReady(); }, Milliseconds(500)));
    const CallerAnswer later = it.instance->send(callerRequest("/book/a", "j2"));
    caller.join();
    CHECK(answer.status == 200);
    CHECK(answer.isWhole);
    CHECK(later.status == 200);
    CHECK(later.fields.value("Connection") == "close");
    CHECK(it.instance->process().terminate(8) == 0);
}
