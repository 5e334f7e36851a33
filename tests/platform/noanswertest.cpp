#include "http/internalrequest.h"
#include "platform/testinstance.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <future>
#include <memory>

using namespace flamingo;

// Bytes of an endpoint, a peer, an archive or the store that are no response never count as one.

namespace
{
struct NoResponse {
    std::string statusLine;
    std::string line; ///< Of the head.
};

const std::vector<NoResponse> &noResponses()
{
    static const std::vector<NoResponse> all = {
        {"HTTP/1.1 000 X", ""},
        {"HTTP/1.1 020 X", ""},
        {"HTTP/1.1 20 X", ""},
        {"HTTP/1.1 0200 X", ""},
        {"HTTP/1.1 600 X", ""},
        {"HTTP/9.9 200 OK", ""},
        {"HTTP/1.1 200 OK", "X Pad: x\r\n"},
        {"HTTP/1.1 200 OK", "X-Pad : x\r\n"},
        {"HTTP/1.1 200 OK", "X\x01Pad: x\r\n"},
        {"HTTP/1.1 200 OK", " X-Pad: x\r\n"},
        {"HTTP/1.1 200 OK", "Transfer-Encoding: gzip\r\n"},
    };
    return all;
}
} // namespace

TEST_CASE("An endpoint's bytes that are no response don't reach the caller as one", "[platform][broken]")
{
    NoResponse sent;
    const ScriptedEndpoint endpoint([&](ScriptedEndpoint::Connection &connection, const ReceivedRequest &request) {
        if (request.body == "sound") {
            connection.write(ScriptedEndpoint::response(request, "ok"));
            return;
        }
        connection.write(fmt::format("{}\r\nX-Attempt-Id: {}\r\nX-Server-Signature: proof\r\n{}Content-Length: 2\r\n\r\nok",
                                     sent.statusLine,
                                     request.head.fields.value("X-Attempt-Id"),
                                     sent.line));
    });
    KvStandIn store;
    store.put("op/config", testConfiguration(1));
    registerEndpoint(store, "i-1", endpoint);
    const TestInstance instance(store, 1);
    REQUIRE(instance.awaitReady());
    int n = 0;
    for (const NoResponse &it : noResponses()) {
        sent = it;
        const std::string id = "n" + std::to_string(++n);
        INFO(it.statusLine << " " << it.line);
        CHECK(instance.send(callerRequest("/book/s", id + "s", {}, "sound")).status == 200);
        CHECK(instance.send(callerRequest("/book/a", id)).status == 502);
    }
}

// Peers, archives and the store are read by the same client.
TEST_CASE("A call between processes gets no answer from bytes that are none", "[platform][broken]")
{
    NoResponse sent;
    const ScriptedEndpoint peer([&](ScriptedEndpoint::Connection &connection, const ReceivedRequest &) {
        connection.write(fmt::format("{}\r\n{}Content-Length: 2\r\n\r\nok", sent.statusLine, sent.line));
    });
    LoopThread thread;
    std::unique_ptr<ConnectionPool> connections;
    thread.call([&] { connections = std::make_unique<ConnectionPool>(thread.loop.context(), ConnectionPool::Settings{2, Milliseconds(800)}); });
    const auto statusOf = [&](const NoResponse &it) {
        sent = it;
        std::promise<int> status;
        thread.call([&] {
            InternalRequest request;
            request.address = peer.address();
            request.target = "/x";
            sendInternalRequest(thread.loop.context(), *connections, std::move(request), [&](const std::optional<InternalResponse> &response) {
                status.set_value(response ? response->status : -1);
            });
        });
        return status.get_future().get();
    };
    CHECK(statusOf({"HTTP/1.1 200 OK", ""}) == 200);
    for (const NoResponse &it : noResponses()) {
        INFO(it.statusLine << " " << it.line);
        CHECK(statusOf(it) == -1);
    }
    thread.call([&] { connections.reset(); });
    thread.stop();
}
