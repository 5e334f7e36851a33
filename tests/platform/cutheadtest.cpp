#include "core/loopthread.h"
#include "http/internalrequest.h"
#include "platform/platformstore.h"
#include "platform/testinstance.h"

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <future>

using namespace flamingo;

// An endpoint, the store or another instance that stops in the middle of its answer's head and closes. A head that was cut is no
// answer, wherever it was cut.

namespace
{
using Connection = ScriptedEndpoint::Connection;

const std::string EventStream = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
const std::string InterimResponse = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::size_t ShownLogBytes = 3000;
const std::string EarlyHints = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";

/// An instance whose endpoint sends only the first bytes of its responses.
struct Fixture {
    Fixture()
    {
        store.put("op/config", testConfiguration(1));
        registerEndpoint(store, "i-1", endpoint);
        instance = std::make_unique<TestInstance>(store, 1);
        REQUIRE(instance->awaitReady());
    }

    void respond(Connection &connection, const ReceivedRequest &request)
    {
        if (request.body == "sound") {
            connection.write(ScriptedEndpoint::response(request, "ok"));
            return;
        }
        connection.write((prefix + ScriptedEndpoint::responseHead(request, lines)).substr(0, sentBytes));
        if (isReset) {
            connection.reset();
        } else {
            connection.close();
        }
    }

    /// Has the endpoint answer a request whole, since it is avoided for a while after its failures.
    void sendSound(const std::string &id) const
    {
        const int status = instance->send(callerRequest("/book/s", id, {}, "sound")).status;
        if (status != 200) {
            const std::string log = instance->log();
            FAIL("status " << status << "; the log ends with\n" << log.substr(log.size() - std::min(log.size(), ShownLogBytes)));
        }
    }

    /// Sends requests to the route, with the response's head cut after every step bytes, and checks that none succeeds.
    void sendWithEachCut(const std::string &route, std::size_t step)
    {
        const std::size_t headBytes = ScriptedEndpoint::responseHead({}, lines).size() + std::string("c000").size();
        for (sentBytes = 0; sentBytes < prefix.size() + headBytes; sentBytes += step) {
            const std::string id = fmt::format("c{:03}", ++requestCount % 1000);
            sendSound(id + "s");
            const CallerResponse result = instance->send(callerRequest(route + "a", id));
            INFO(route << " cut after " << sentBytes << " of " << prefix.size() + headBytes);
            CHECK(result.status == 502);
            CHECK(result.body.empty());
        }
    }

    std::string prefix;
    std::string lines;
    std::atomic<std::size_t> sentBytes{0};
    bool isReset = false;
    ScriptedEndpoint endpoint{[this](Connection &connection, const ReceivedRequest &request) { respond(connection, request); }};
    KvStandIn store;
    std::unique_ptr<TestInstance> instance;
    int requestCount = 0;
};

/// The client of the store, in front of a store that sends only the first bytes of its responses.
struct StoreFixture {
    platform::StoreItem readWith(const std::string &bytes, bool &hasResult)
    {
        response = bytes;
        std::promise<tl::expected<platform::StoreItem, platform::StoreFailure>> result;
        asio::post(loop.loop.context(), [&] {
            client = std::make_unique<platform::PlatformStore>(loop.loop.context(), endpoint.address(), metrics);
            client->read("turn/t1", [&](const auto &item) { result.set_value(item); });
        });
        const auto item = result.get_future().get();
        hasResult = item.has_value();
        return item.value_or(platform::StoreItem());
    }

    std::string response;
    ScriptedEndpoint endpoint{[this](Connection &connection, const ReceivedRequest &) {
        connection.write(response);
        connection.close();
    }};
    Metrics metrics;
    LoopThread loop;
    std::unique_ptr<platform::PlatformStore> client;
};
} // namespace

TEST_CASE_METHOD(Fixture, "A response that is cut in its head never reaches the caller as a success, and is not repeated", "[platform][broken]")
{
    SECTION("A body with a length, cut after each byte")
    {
        lines = "Content-Length: 5\r\n";
        sendWithEachCut("/book/", 1);
    }
    SECTION("A stream, cut after each byte")
    {
        lines = EventStream;
        sendWithEachCut("/chat/", 1);
    }
    SECTION("A body that ends with its connection")
    {
        sendWithEachCut("/book/", 1);
    }
    SECTION("Reset in place of a close")
    {
        lines = "Content-Length: 5\r\n";
        isReset = true;
        sendWithEachCut("/book/", 3);
    }
    SECTION("After an interim response")
    {
        lines = "Content-Length: 5\r\n";
        prefix = InterimResponse;
        sendWithEachCut("/book/", 3);
        prefix = EarlyHints;
        sendWithEachCut("/book/", 3);
    }
    // Each request was sent once: it may have run, and must not be repeated.
    CHECK(endpoint.requests().size() == 2 * static_cast<std::size_t>(requestCount));
}

TEST_CASE("A stream whose resumed attempt is cut in its head is broken off", "[platform][broken]")
{
    std::atomic<int> attempts{0};
    std::atomic<std::size_t> sentBytes{0};
    ScriptedEndpoint endpoint([&](Connection &connection, const ReceivedRequest &request) {
        if (request.body == "sound") {
            connection.write(ScriptedEndpoint::response(request, "ok"));
            return;
        }
        if (++attempts == 1) {
            connection.write(ScriptedEndpoint::responseHead(request, EventStream) + ScriptedEndpoint::chunk(ScriptedEndpoint::event(1, "one")));
        } else {
            connection.write(ScriptedEndpoint::responseHead(request, EventStream).substr(0, sentBytes));
        }
        connection.close();
    });
    KvStandIn store;
    store.put("op/config", testConfiguration(1));
    registerEndpoint(store, "i-1", endpoint);
    const TestInstance instance(store, 1);
    REQUIRE(instance.awaitReady());
    for (const std::size_t cut : {0, 9, 40, 90}) {
        attempts = 0;
        sentBytes = cut;
        int soundRequests = 0;
        // The endpoint is avoided for a while after its failures.
        REQUIRE(eventually([&] { return instance.send(callerRequest("/book/s", fmt::format("r{}s{}", cut, ++soundRequests), {}, "sound")).status == 200; }));
        const CallerResponse result = instance.send(callerRequest("/stream/a", fmt::format("r{}", cut)));
        INFO("cut after " << cut);
        CHECK(result.status == 200);
        CHECK_FALSE(result.isComplete);
        CHECK(result.body == ScriptedEndpoint::event(1, "one"));
    }
}

// Guards against a turn that counts as absent, and is answered 404, because the store's answer was cut.
TEST_CASE_METHOD(StoreFixture, "An answer of the store that is cut is no answer", "[platform][broken]")
{
    const std::string absent = "HTTP/1.1 404 X\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
    bool hasResult = false;
    CHECK(readWith(absent, hasResult).revision == 0);
    CHECK(hasResult);
    for (std::size_t n = 0; n < absent.size(); n += 2) {
        readWith(absent.substr(0, n), hasResult);
        INFO("cut after " << n);
        CHECK_FALSE(hasResult);
    }
}

TEST_CASE("An answer of another instance that is cut is no answer", "[platform][broken]")
{
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    std::string response;
    ScriptedEndpoint peer([&](Connection &connection, const ReceivedRequest &) {
        connection.write(response);
        connection.close();
    });
    LoopThread loop;
    auto connections = loop.call([&] { return std::make_unique<ConnectionPool>(loop.loop.context(), ConnectionPool::Settings{}); });
    const auto ask = [&](const std::string &bytes) {
        response = bytes;
        std::promise<std::optional<InternalResponse>> result;
        asio::post(loop.loop.context(), [&] {
            InternalRequest request;
            request.address = peer.address();
            request.target = "/witness/fence";
            sendInternalRequest(loop.loop.context(), *connections, request, [&](const std::optional<InternalResponse> &it) { result.set_value(it); });
        });
        return result.get_future().get();
    };
    CHECK(ask(whole));
    for (std::size_t n = 0; n < whole.size(); ++n) {
        INFO("cut after " << n);
        CHECK_FALSE(ask(whole.substr(0, n)));
    }
    loop.stop();
}
