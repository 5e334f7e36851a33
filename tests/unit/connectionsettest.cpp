#include "http/connectionset.h"

#include <asio.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <vector>

using namespace flamingo;

namespace
{
constexpr std::string_view Request = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n";
constexpr Milliseconds DrainCheckPeriod{5};

/// A server that stops as an instance does once callers are sent elsewhere.
class StoppingServer
{
public:
    StoppingServer()
    {
        const auto respond = [](const ServerConnectionPtr &connection, const ServerRequest &) { connection->respond(200, {}, "ok"); };
        asio::ip::tcp::acceptor freePort(m_context, {asio::ip::make_address("127.0.0.1"), 0});
        m_address = freePort.local_endpoint();
        freePort.close();
        m_connections = std::make_unique<ConnectionSet>(m_context, m_address, respond, [] { return ConnectionLimits(); });
        m_connections->setClosing(true);
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~StoppingServer()
    {
        m_context.stop();
        m_thread.join();
    }

    asio::ip::tcp::endpoint address() const
    {
        return m_address;
    }

    void beginStop()
    {
        asio::post(m_context, [this] { checkDrain(); });
    }

private:
    void checkDrain()
    {
        m_connections->stopAccepting();
        m_connections->closeIdle();
        m_timer.expires_after(DrainCheckPeriod);
        m_timer.async_wait([this](const asio::error_code &ec) {
            if (!ec) {
                checkDrain();
            }
        });
    }

    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work{m_context.get_executor()};
    asio::steady_timer m_timer{m_context};
    asio::ip::tcp::endpoint m_address;
    std::unique_ptr<ConnectionSet> m_connections;
    std::thread m_thread;
};

struct CallCounts {
    std::atomic<int> answered{0};
    std::atomic<int> unanswered{0}; ///< The connection was established.
};

/// Returns false if the connection is refused or not established soon.
bool tryConnect(asio::ip::tcp::socket &socket, const asio::ip::tcp::endpoint &address)
{
    constexpr int ConnectLimitMs = 100;
    socket.open(address.protocol());
    socket.native_non_blocking(true);
    ::connect(socket.native_handle(), address.data(), static_cast<socklen_t>(address.size()));
    pollfd waiting{socket.native_handle(), POLLOUT, 0};
    ::poll(&waiting, 1, ConnectLimitMs);
    socket.native_non_blocking(false);
    asio::error_code ec;
    socket.remote_endpoint(ec);
    return !ec;
}

/// Sends one request on each connection until no connection is established any more.
void callUntilRefused(const asio::ip::tcp::endpoint &address, CallCounts &counts)
{
    while (true) {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        asio::error_code ec;
        if (!tryConnect(socket, address)) {
            return;
        }
        std::string response;
        asio::write(socket, asio::buffer(Request), ec);
        if (!ec) {
            asio::read(socket, asio::dynamic_buffer(response), ec);
        }
        ++(response.rfind("HTTP/1.1 200", 0) == 0 ? counts.answered : counts.unanswered);
    }
}
} // namespace

// Guards against connections that the kernel establishes between the last accept and the close of the listening socket, which
// resets them.
TEST_CASE("Requests on connections that are made while a port closes are answered", "[http]")
{
    constexpr int Rounds = 100;
    constexpr int CallerCount = 8;
    constexpr Milliseconds LeadTime{10};
    CallCounts counts;
    for (int round = 0; round < Rounds; ++round) {
        StoppingServer server;
        std::vector<std::thread> callers;
        for (int n = 0; n < CallerCount; ++n) {
            callers.emplace_back([&] { callUntilRefused(server.address(), counts); });
        }
        std::this_thread::sleep_for(LeadTime);
        server.beginStop();
        for (std::thread &caller : callers) {
            caller.join();
        }
    }
    CHECK(counts.unanswered == 0);
    CHECK(counts.answered > Rounds * CallerCount);
}
