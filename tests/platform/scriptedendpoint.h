#pragma once

#include "core/loopthread.h"
#include "core/settingsreader.h"
#include "http/messageparser.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace flamingo
{

/// A request as an endpoint has received it.
struct ReceivedRequest {
    MessageHead head;
    std::string body;
};

/// An endpoint that does what a test tells it, byte by byte.
class ScriptedEndpoint
{
public:
    /// One connection, on which the script answers.
    class Connection : public std::enable_shared_from_this<Connection>
    {
    public:
        Connection(ScriptedEndpoint &owner, asio::ip::tcp::socket socket);

        void start();
        void write(std::string bytes);

        /// Writes later, if the connection still stands.
        void writeLater(Milliseconds after, std::string bytes);
        void closeLater(Milliseconds after);
        void close();

    private:
        void read();
        void onBytes(std::string_view bytes);

        ScriptedEndpoint &m_endpoint;
        asio::ip::tcp::socket m_socket;
        MessageParser m_parser{MessageParser::Kind::Requests};
        ReceivedRequest m_request;
        std::array<char, 8192> m_buffer;
        bool m_isClosed = false;
    };

    /// Called on the endpoint's thread for each whole request.
    using Script = std::function<void(Connection &connection, const ReceivedRequest &request)>;

    explicit ScriptedEndpoint(Script script);
    ~ScriptedEndpoint();

    SocketAddress address() const;
    std::vector<ReceivedRequest> requests() const;

    /// Connections that callers have closed.
    int connectionsClosedByCaller() const;

    /// The head of an answer to a request, signed, with these further lines.
    static std::string responseHead(const ReceivedRequest &request, const std::string &lines, int status = 200);

    /// A whole signed answer.
    static std::string response(const ReceivedRequest &request, const std::string &body, int status = 200);

    /// A chunk of a chunked body.
    static std::string chunk(const std::string &bytes);

    /// An event of a stream with a number and data.
    static std::string event(int number, const std::string &data);

private:
    void accept();

    Script m_script;
    LoopThread m_thread;
    std::unique_ptr<asio::ip::tcp::acceptor> m_acceptor;
    std::uint16_t m_port = 0;
    mutable std::mutex m_mutex;
    std::vector<ReceivedRequest> m_requests;
    std::atomic<int> m_connectionsClosedByCaller{0};
};

} // namespace flamingo
