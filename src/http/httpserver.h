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

/// One request to an HttpServer, with functions to respond. These may be called from any thread, but not concurrently.
class HttpExchange
{
public:
    using Header = std::pair<std::string, std::string>;

    virtual ~HttpExchange() = default;

    virtual std::string method() const = 0;

    /// The path, without the query.
    virtual std::string path() const = 0;

    /// The decoded value of a query parameter; empty when it is missing.
    virtual std::string query(const std::string &name) const = 0;

    /// The value of a header; empty when it is missing.
    virtual std::string header(const std::string &name) const = 0;

    virtual const std::string &body() const = 0;

    /// Sends a complete response.
    virtual void respond(int status, const std::string &contentType, std::string body, const std::vector<Header> &headers = {}) = 0;

    /// Begins a response whose body is sent in chunks.
    virtual void startStream(int status, const std::string &contentType, const std::vector<Header> &headers = {}) = 0;
    virtual void write(std::string chunk) = 0;
    virtual void finishStream() = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/// An HTTP/1.1 server, based on RESTinio.
class HttpServer
{
public:
    /// Called on one of the server's threads.
    using Handler = std::function<void(HttpExchangePtr exchange)>;

    struct Settings {
        std::string address = "127.0.0.1"; ///< IP address.
        std::uint16_t port = 0;
        std::size_t threads = 1;
        std::size_t maxBodyBytes = std::size_t(4) * 1024 * 1024; ///< A connection with a larger request body is closed.
    };

    /// Throws std::exception if it cannot listen on the address.
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
