#include "http/internalrequest.h"
#include "platform/testinstance.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <future>
#include <memory>
#include <thread>

using namespace flamingo;

// Bytes of an endpoint, a peer, an archive or the store that are no response never count as one, and a response that breaks off never
// looks complete.

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

/// Answers the head of a request at once with a part of a body without length, and ends the connection while the rest of the request is
/// being sent to it.
class EarlyEndpoint
{
public:
    explicit EarlyEndpoint(bool isReset)
        : m_isReset(isReset)
        , m_acceptor(m_context)
    {
        constexpr int SmallReceiveBuffer = 4096;
        m_acceptor.open(asio::ip::tcp::v4());
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(SmallReceiveBuffer));
        m_acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
        m_acceptor.listen();
        m_thread = std::thread([this] { serve(); });
    }

    ~EarlyEndpoint()
    {
        m_isStopping = true;
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        asio::error_code ignored;
        socket.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }

    SocketAddress address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    void serve()
    {
        while (!m_isStopping) {
            asio::ip::tcp::socket socket(m_context);
            asio::error_code ec;
            m_acceptor.accept(socket, ec);
            if (!ec && !m_isStopping) {
                answer(std::move(socket));
            }
        }
    }

    void answer(asio::ip::tcp::socket socket) const
    {
        constexpr Milliseconds UploadTime{60};
        std::string head;
        asio::error_code ec;
        asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", ec);
        const std::string field = "X-Attempt-Id: ";
        const auto at = head.find(field);
        const std::string id = at == std::string::npos ? "" : head.substr(at + field.size(), head.find('\r', at) - at - field.size());
        asio::write(socket, asio::buffer(fmt::format("HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Signature: proof\r\n\r\npart", id)), ec);
        std::this_thread::sleep_for(UploadTime);
        if (m_isReset) {
            socket.set_option(asio::socket_base::linger(true, 0), ec);
        }
        socket.close(ec);
    }

    bool m_isReset;
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};
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

TEST_CASE("A response without length that ends while the request is still being sent isn't complete", "[platform][broken]")
{
    constexpr int Tries = 6;
    constexpr std::size_t UploadBytes = 3500000;
    for (const bool isReset : {true, false}) {
        const EarlyEndpoint endpoint(isReset);
        KvStandIn store;
        std::string configuration = testConfiguration(1);
        const std::string limit = R"("max-body-bytes":100000)";
        configuration.replace(configuration.find(limit), limit.size(), R"("max-body-bytes":4194304)");
        store.put("op/config", configuration);
        store.put("servers/i-1",
                  fmt::format(R"({{"service":"app","address":"{}","zone":"zone-1","version":"v1","slots":16,"state":"ready","cold-left-ms":0,"sequence":1}})",
                              endpoint.address().text()));
        const TestInstance instance(store, 1);
        REQUIRE(instance.awaitReady());
        for (int n = 0; n < Tries; ++n) {
            const auto response = instance.send(callerRequest("/book/a", fmt::format("u{}", n), {}, std::string(UploadBytes, 'x')));
            INFO((isReset ? "reset, status " : "closed, status ") << response.status << " body " << response.body);
            CHECK_FALSE((response.status == 200 && response.isComplete));
        }
    }
}
