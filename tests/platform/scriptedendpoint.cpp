#include "platform/scriptedendpoint.h"

#include <fmt/format.h>

#include <linux/filter.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>

namespace flamingo
{

ScriptedEndpoint::Connection::Connection(ScriptedEndpoint &owner, asio::ip::tcp::socket socket)
    : m_endpoint(owner)
    , m_socket(std::move(socket))
{
}

void ScriptedEndpoint::Connection::start()
{
    read();
}

void ScriptedEndpoint::Connection::read()
{
    m_socket.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](const asio::error_code &ec, std::size_t n) {
        if (self->m_isClosed) {
            return;
        }
        if (ec) {
            ++self->m_endpoint.m_connectionsClosedByCaller;
            self->close();
            return;
        }
        self->onBytes({self->m_buffer.data(), n});
        if (!self->m_isClosed) {
            self->read();
        }
    });
}

void ScriptedEndpoint::Connection::onBytes(std::string_view bytes)
{
    while (!bytes.empty() && !m_isClosed) {
        const auto event = m_parser.feed(bytes);
        if (event == MessageParser::Event::Head) {
            m_request = {std::move(m_parser.head()), {}};
        } else if (event == MessageParser::Event::Body) {
            m_request.body += m_parser.body();
        } else if (event == MessageParser::Event::Complete) {
            {
                const std::lock_guard<std::mutex> lock(m_endpoint.m_mutex);
                m_endpoint.m_requests.push_back(m_request);
            }
            m_endpoint.m_script(*this, m_request);
        } else if (event == MessageParser::Event::Error) {
            close();
        }
    }
}

void ScriptedEndpoint::Connection::write(std::string bytes)
{
    asio::error_code ignored;
    asio::write(m_socket, asio::buffer(bytes), ignored);
}

void ScriptedEndpoint::Connection::writeEndlessly(std::string start, std::string repeated)
{
    m_repeated = std::move(repeated);
    write(std::move(start));
    writeAgain();
}

void ScriptedEndpoint::Connection::writeAgain()
{
    if (m_isClosed) {
        return;
    }
    asio::async_write(m_socket, asio::buffer(m_repeated), [self = shared_from_this()](const asio::error_code &ec, std::size_t) {
        if (!ec) {
            self->writeAgain();
        }
    });
}

void ScriptedEndpoint::Connection::writeLater(Milliseconds after, std::string bytes)
{
    m_endpoint.m_thread.loop.timers().at(std::chrono::steady_clock::now() + after, [self = shared_from_this(), bytes = std::move(bytes)](Instant) {
        if (!self->m_isClosed) {
            self->write(bytes);
        }
    });
}

void ScriptedEndpoint::Connection::closeLater(Milliseconds after)
{
    m_endpoint.m_thread.loop.timers().at(std::chrono::steady_clock::now() + after, [self = shared_from_this()](Instant) { self->close(); });
}

void ScriptedEndpoint::Connection::close()
{
    m_isClosed = true;
    asio::error_code ignored;
    m_socket.close(ignored);
}

void ScriptedEndpoint::Connection::reset()
{
    asio::error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void ScriptedEndpoint::Connection::fallSilent(Milliseconds after, Milliseconds until)
{
    for (const bool begins : {true, false}) {
        m_endpoint.m_thread.loop.timers().at(std::chrono::steady_clock::now() + (begins ? after : until), [self = shared_from_this(), begins](Instant) {
            if (!self->m_isClosed) {
                self->setIgnoresSegments(begins);
            }
        });
    }
}

// A filter that passes no segment.
void ScriptedEndpoint::Connection::setIgnoresSegments(bool ignores)
{
    sock_filter nothing = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog filter{1, &nothing};
    const int option = ignores ? SO_ATTACH_FILTER : SO_DETACH_FILTER;
    if (::setsockopt(m_socket.native_handle(), SOL_SOCKET, option, &filter, sizeof(filter)) != 0) {
        throw std::system_error(errno, std::generic_category(), "socket filter");
    }
}

ScriptedEndpoint::ScriptedEndpoint(Script script)
    : m_script(std::move(script))
{
    m_thread.call([this] {
        m_acceptor = std::make_unique<asio::ip::tcp::acceptor>(m_thread.loop.context(), asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        m_port = m_acceptor->local_endpoint().port();
        accept();
    });
}

ScriptedEndpoint::~ScriptedEndpoint()
{
    m_thread.stop();
}

void ScriptedEndpoint::accept()
{
    m_acceptor->async_accept([this](const asio::error_code &ec, asio::ip::tcp::socket socket) {
        if (!ec) {
            std::make_shared<Connection>(*this, std::move(socket))->start();
            accept();
        }
    });
}

SocketAddress ScriptedEndpoint::address() const
{
    return {"127.0.0.1", m_port};
}

std::vector<ReceivedRequest> ScriptedEndpoint::requests() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_requests;
}

int ScriptedEndpoint::connectionsClosedByCaller() const
{
    return m_connectionsClosedByCaller;
}

std::string ScriptedEndpoint::responseHead(const ReceivedRequest &request, const std::string &lines, int status)
{
    return fmt::format("HTTP/1.1 {} X\r\nX-Attempt-Id: {}\r\nX-Server-Signature: proof\r\n{}\r\n", status, request.head.fields.value("X-Attempt-Id"), lines);
}

std::string ScriptedEndpoint::response(const ReceivedRequest &request, const std::string &body, int status)
{
    return responseHead(request, fmt::format("Content-Length: {}\r\n", body.size()), status) + body;
}

std::string ScriptedEndpoint::chunk(const std::string &bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

std::string ScriptedEndpoint::event(int number, const std::string &data)
{
    return fmt::format("id: {}\ndata: {}\n\n", number, data);
}

} // namespace flamingo
