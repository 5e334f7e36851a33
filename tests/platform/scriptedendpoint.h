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

/// A request as received by an endpoint.
struct ReceivedRequest {
    MessageHead head;
    std::string body;
};

/// An endpoint whose responses a test scripts byte by byte.
class ScriptedEndpoint
{
public:
    /// An accepted connection, on which the script sends its responses.
    class Connection : public std::enable_shared_from_this<Connection>
    {
    public:
        Connection(ScriptedEndpoint &owner, asio::ip::tcp::socket socket);

        void start();
        void write(std::string bytes);

        /// Writes the first bytes, and then the others again and again until the connection is closed.
        void writeEndlessly(std::string start, std::string repeated);

        /// Writes after a delay, if the connection is still open.
        void writeLater(Milliseconds after, std::string bytes);
        void closeLater(Milliseconds after);
        void close();

        /// Closes the connection with a reset.
        void reset();

        /// From the first time after now until the second one, the kernel ignores all that arrives on the connection, so that nothing
        /// is acknowledged. Whatever is written meanwhile still reaches the caller.
        void fallSilent(Milliseconds after, Milliseconds until);

    private:
        void read();
        void onBytes(std::string_view bytes);
        void writeAgain();
        void setIgnoresSegments(bool ignores);

        ScriptedEndpoint &m_endpoint;
        asio::ip::tcp::socket m_socket;
        MessageParser m_parser{MessageParser::Kind::Requests};
        ReceivedRequest m_request;
        std::array<char, 8192> m_buffer;
        std::string m_repeated;
        bool m_isClosed = false;
    };

    /// Called on the endpoint's thread for each complete request.
    using Script = std::function<void(Connection &connection, const ReceivedRequest &request)>;

    explicit ScriptedEndpoint(Script script);
    ~ScriptedEndpoint();

    SocketAddress address() const;
    std::vector<ReceivedRequest> requests() const;

    int connectionsClosedByCaller() const;

    /// The head of a signed response to a request, with additional header lines.
    static std::string responseHead(const ReceivedRequest &request, const std::string &lines, int status = 200);

    /// A complete signed response.
    static std::string response(const ReceivedRequest &request, const std::string &body, int status = 200);

    /// One chunk of a chunked body.
    static std::string chunk(const std::string &bytes);

    /// A server-sent event; the number is its id.
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
