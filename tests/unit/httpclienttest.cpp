#include "http/httpclient.h"

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <memory>
#include <thread>

using namespace flamingo;

namespace
{
/// Responds to the first request and closes the connection after reading any later one, like an endpoint that crashes
/// after executing a request and before responding.
class BreakingEndpoint
{
public:
    BreakingEndpoint()
        : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~BreakingEndpoint()
    {
        m_context.stop();
        m_thread.join();
    }

    std::string url() const
    {
        return fmt::format("http://127.0.0.1:{}/book", m_acceptor.local_endpoint().port());
    }

    int requests() const
    {
        return m_requests;
    }

private:
    struct Connection {
        explicit Connection(asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }

        asio::ip::tcp::socket socket;
        std::string buf;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code &ec, asio::ip::tcp::socket socket) {
            if (!ec) {
                read(std::make_shared<Connection>(std::move(socket)));
                accept();
            }
        });
    }

    void read(const std::shared_ptr<Connection> &connection)
    {
        asio::async_read_until(connection->socket, asio::dynamic_buffer(connection->buf), "end", [this, connection](const asio::error_code &ec, std::size_t n) {
            if (ec || ++m_requests > 1) {
                return;
            }
            connection->buf.erase(0, n);
            asio::write(connection->socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
            read(connection);
        });
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<int> m_requests{0};
    std::thread m_thread;
};
} // namespace

TEST_CASE("The client does not retry a POST request whose response is lost", "[http][promises]")
{
    BreakingEndpoint endpoint;
    HttpClient client;
    HttpRequest request;
    request.method = "POST";
    request.url = endpoint.url();
    request.body = "end";
    REQUIRE(client.sendAndWait(request));
    const HttpResult second = client.sendAndWait(request);
    REQUIRE_FALSE(second);
    CHECK(second.error().kind == HttpFailure::Kind::Broken);
    CHECK(endpoint.requests() == 2);
}
