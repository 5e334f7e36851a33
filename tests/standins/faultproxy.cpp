// A fault-injecting proxy for TCP and UDP. Each route has a listening port, a target port and a name. Faults are set by
// POST /admin on the control port: {"routes": ["name", ...], "mode": "pass|cut|silent|silent-back"}.
// - cut: closes open connections and refuses new ones.
// - silent: drops data in both directions and keeps connections open; with "new_pass": true this applies only to the
//   connections that are open now.
// - silent-back: drops the data that the target sends.
// delay_ms is the delay in each direction of a TCP connection. UDP packets are forwarded only in mode pass.

#include "core/codec.h"
#include "core/stopsignal.h"
#include "http/httpserver.h"

#include <asio.hpp>
#include <cxxopts.hpp>

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace
{
using asio::ip::tcp;
using asio::ip::udp;

constexpr std::size_t BufferBytes = 65536;

enum class Mode { Pass, Cut, Silent, SilentBack };

struct Route {
    std::string name;
    std::uint16_t listenPort = 0;
    std::uint16_t targetPort = 0;
    Mode mode = Mode::Pass;
    std::chrono::milliseconds delay{0};
    std::uint64_t firstUnsilencedConnection = 0; ///< Connections with a lower number stay silent in every mode.
};

class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(asio::io_context &io, Route &route, tcp::socket client, std::uint64_t number)
        : m_io(io)
        , m_route(route)
        , m_client(std::move(client))
        , m_target(io)
        , m_number(number)
    {
    }

    void start()
    {
        const auto self = shared_from_this();
        m_target.async_connect(tcp::endpoint(asio::ip::address_v4::loopback(), m_route.targetPort), [self](const asio::error_code &ec) {
            if (ec) {
                self->close();
                return;
            }
            asio::error_code ignored;
            self->m_client.set_option(tcp::no_delay(true), ignored);
            self->m_target.set_option(tcp::no_delay(true), ignored);
            self->forward(self->m_client, self->m_target, self->m_requestBuffer, false);
            self->forward(self->m_target, self->m_client, self->m_responseBuffer, true);
        });
    }

    void close()
    {
        asio::error_code ec;
        m_client.close(ec);
        m_target.close(ec);
    }

    const Route *route() const
    {
        return &m_route;
    }

private:
    using Buffer = std::array<char, BufferBytes>;

    bool isDropped(bool isResponse) const
    {
        const bool isSilenced = m_number < m_route.firstUnsilencedConnection;
        return isSilenced || m_route.mode == Mode::Silent || (m_route.mode == Mode::SilentBack && isResponse);
    }

    void forward(tcp::socket &from, tcp::socket &to, Buffer &buf, bool isResponse)
    {
        const auto self = shared_from_this();
        from.async_read_some(asio::buffer(buf), [self, &from, &to, &buf, isResponse](const asio::error_code &ec, std::size_t n) {
            if (ec) {
                if (!self->isDropped(isResponse)) {
                    self->close();
                }
                return;
            }
            if (self->isDropped(isResponse)) {
                self->forward(from, to, buf, isResponse);
                return;
            }
            const auto timer = std::make_shared<asio::steady_timer>(self->m_io, self->m_route.delay);
            timer->async_wait([self, timer, &from, &to, &buf, isResponse, n](const asio::error_code &) {
                asio::async_write(to, asio::buffer(buf.data(), n), [self, &from, &to, &buf, isResponse](const asio::error_code &writeEc, std::size_t) {
                    if (writeEc) {
                        self->close();
                    } else {
                        self->forward(from, to, buf, isResponse);
                    }
                });
            });
        });
    }

    asio::io_context &m_io;
    Route &m_route;
    tcp::socket m_client;
    tcp::socket m_target;
    std::uint64_t m_number;
    Buffer m_requestBuffer{};
    Buffer m_responseBuffer{};
};

/// Forwards TCP connections and UDP packets of one route.
class RouteServer
{
public:
    RouteServer(asio::io_context &io, Route route)
        : m_io(io)
        , m_route(std::move(route))
        , m_acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), m_route.listenPort))
        , m_udp(io, udp::endpoint(asio::ip::address_v4::loopback(), m_route.listenPort))
    {
        accept();
        receive();
    }

    const std::string &name() const
    {
        return m_route.name;
    }

    void setMode(Mode mode, std::chrono::milliseconds delay, bool mayNewConnectionsPass)
    {
        m_route.mode = mayNewConnectionsPass ? Mode::Pass : mode;
        m_route.delay = delay;
        if (mayNewConnectionsPass && mode == Mode::Silent) {
            m_route.firstUnsilencedConnection = m_lastConnectionNumber + 1;
        }
        if (mode == Mode::Cut) {
            for (const auto &weak : m_connections) {
                if (const auto connection = weak.lock()) {
                    connection->close();
                }
            }
            m_connections.clear();
        }
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code &ec, tcp::socket socket) {
            if (!ec && m_route.mode != Mode::Cut) {
                const auto connection = std::make_shared<Connection>(m_io, m_route, std::move(socket), ++m_lastConnectionNumber);
                m_connections.push_back(connection);
                connection->start();
            }
            accept();
        });
    }

    // Packets are forwarded in one direction only: gossip replies are sent to the sender's own address, not through this
    // proxy's socket.
    void receive()
    {
        m_udp.async_receive_from(asio::buffer(m_buf), m_sender, [this](const asio::error_code &ec, std::size_t n) {
            if (!ec && m_route.mode == Mode::Pass) {
                asio::error_code ignored;
                m_udp.send_to(asio::buffer(m_buf.data(), n), udp::endpoint(asio::ip::address_v4::loopback(), m_route.targetPort), 0, ignored);
            }
            receive();
        });
    }

    asio::io_context &m_io;
    Route m_route;
    tcp::acceptor m_acceptor;
    udp::socket m_udp;
    udp::endpoint m_sender;
    std::array<char, BufferBytes> m_buf{};
    std::uint64_t m_lastConnectionNumber = 0;
    std::vector<std::weak_ptr<Connection>> m_connections;
};

Mode modeFromName(const std::string &name)
{
    static const std::map<std::string, Mode> modes = {{"pass", Mode::Pass}, {"cut", Mode::Cut}, {"silent", Mode::Silent}, {"silent-back", Mode::SilentBack}};
    return modes.at(name);
}
} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("fault-proxy", "Fault-injecting TCP and UDP proxy on loopback");
    options.add_options()("control", "Port of the control interface", cxxopts::value<std::uint16_t>());
    options.add_options()("route", "name:listen-port:target-port; may be repeated", cxxopts::value<std::vector<std::string>>());
    const auto arguments = options.parse(argc, argv);
    flamingo::blockStopSignals();
    asio::io_context io;
    std::vector<std::unique_ptr<RouteServer>> routes;
    for (const std::string &text : arguments["route"].as<std::vector<std::string>>()) {
        const auto first = text.find(':');
        const auto second = text.find(':', first + 1);
        Route route;
        route.name = text.substr(0, first);
        route.listenPort = static_cast<std::uint16_t>(std::stoi(text.substr(first + 1, second - first - 1)));
        route.targetPort = static_cast<std::uint16_t>(std::stoi(text.substr(second + 1)));
        routes.push_back(std::make_unique<RouteServer>(io, route));
    }
    std::thread thread([&] { io.run(); });
    flamingo::HttpServer server({"127.0.0.1", arguments["control"].as<std::uint16_t>(), 1}, [&](const flamingo::HttpExchangePtr &exchange) {
        const auto json = flamingo::parseJson(exchange->body()).value_or(nlohmann::json::object());
        const auto names = json.value("routes", std::set<std::string>());
        const Mode mode = modeFromName(json.value("mode", "pass"));
        const std::chrono::milliseconds delay(json.value("delay_ms", 0));
        const bool mayNewConnectionsPass = json.value("new_pass", false);
        asio::post(io, [&, exchange, names, mode, delay, mayNewConnectionsPass] {
            for (const auto &route : routes) {
                if (names.count(route->name()) != 0) {
                    route->setMode(mode, delay, mayNewConnectionsPass);
                }
            }
            exchange->respond(200, "application/json", "{}");
        });
    });
    flamingo::waitForStopSignal();
    server.stop();
    io.stop();
    thread.join();
    return 0;
}
