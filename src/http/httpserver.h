#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace flamingo
{

/// One request to an HttpServer and the way to answer it. Answering is safe from any thread, one at a time.
class HttpExchange
{
public:
    using Header = std::pair<std::string, std::string>;

    virtual ~HttpExchange() = default;

    virtual std::string method() const = 0;

    /// The path, without the query.
    virtual std::string path() const = 0;

    /// The value of a query parameter, decoded; empty when it isn't there.
    virtual std::string query(const std::string &name) const = 0;

    /// The value of a header; empty when it isn't there.
    virtual std::string header(const std::string &name) const = 0;

    virtual const std::string &body() const = 0;

    /// Sends the whole answer.
    virtual void respond(int status, const std::string &contentType, std::string body, const std::vector<Header> &headers = {}) = 0;

    /// Begins an answer that is sent in pieces.
    virtual void startStream(int status, const std::string &contentType, const std::vector<Header> &headers = {}) = 0;
    virtual void write(std::string chunk) = 0;
    virtual void finishStream() = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/// An HTTP/1.1 server, by RESTinio.
class HttpServer
{
public:
    /// Called on one of the server's threads.
    using Handler = std::function<void(HttpExchangePtr exchange)>;

    struct Settings {
        std::string address = "127.0.0.1"; ///< IP number.
        std::uint16_t port = 0;
        std::size_t threads = 1;
        std::size_t maxBodyBytes = std::size_t(4) * 1024 * 1024; ///< A connection with a larger request is closed.
    };

    /// Throws std::exception when the address can't be listened on.
    HttpServer(const Settings &settings, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Closes all connections and ends the threads.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace flamingo
