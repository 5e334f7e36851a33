#pragma once

#include "core/time.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace flamingo
{

struct HttpRequest {
    std::string method = "GET";
    std::string url; ///< http://HOST:PORT/PATH, the host as an IP address.
    std::vector<std::string> headers; ///< Each in the form "Name: value".
    std::string body;
    Milliseconds connectTimeout{1000};
    Milliseconds totalTimeout{60000}; ///< 0: no timeout.
    Milliseconds idleTimeout{0}; ///< The request fails when nothing has arrived for this long; 0: no timeout.
};

struct HttpResponse {
    int status = 0;
    std::string body; ///< Empty when the body was streamed.
};

/// Why a request has no complete response.
struct HttpFailure {
    enum class Kind { NotSent, TimedOut, Broken, Cancelled };

    Kind kind = Kind::Broken; ///< NotSent only if certainly no byte of the request was sent.
    std::string detail;
};

using HttpResult = tl::expected<HttpResponse, HttpFailure>;

/// Sends HTTP/1.1 requests through a ConnectionPool on a thread of its own, for users on other threads. The callbacks
/// run on that thread. Only GET requests reuse idle connections; such a request is sent again if the peer has closed
/// the connection.
class HttpClient
{
public:
    using TransferId = std::uint64_t;
    using DoneHandler = std::function<void(HttpResult outcome)>;
    using ChunkHandler = std::function<void(std::string_view chunk)>;

    HttpClient();

    /// Cancels all pending requests.
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends a request. The done handler is called once. With a chunk handler, the body is streamed to it.
    TransferId send(HttpRequest request, DoneHandler onDone, ChunkHandler onChunk = {});

    /// Cancels a request. Its done handler gets Cancelled unless it has been called already.
    void cancel(TransferId id);

    /// Sends a request and blocks until it is done; for command-line tools and tests.
    HttpResult sendAndWait(HttpRequest request);

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace flamingo
