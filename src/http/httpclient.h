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
    std::vector<std::string> headers; ///< Each "Name: value".
    std::string body;
    Milliseconds connectTimeout{1000};
    Milliseconds totalTimeout{60000}; ///< 0 for none.
    Milliseconds idleTimeout{0}; ///< Given up when nothing has arrived for so long; 0 for never.
};

struct HttpResponse {
    int status = 0;
    std::string body; ///< Empty when the body was streamed.
};

/// Why no whole response came.
struct HttpFailure {
    enum class Kind { NotSent, TimedOut, Broken, Cancelled };

    Kind kind = Kind::Broken; ///< NotSent only when provably no byte of the request left.
    std::string detail;
};

using HttpResult = tl::expected<HttpResponse, HttpFailure>;

/// Sends HTTP/1.1 requests by a LinkPool on a thread of its own, for users on other threads. The callbacks run on that
/// thread. Only GET uses kept connections and is sent again when one of them turns out to be closed.
class HttpClient
{
public:
    using TransferId = std::uint64_t;
    using DoneHandler = std::function<void(HttpResult outcome)>;
    using ChunkHandler = std::function<void(std::string_view chunk)>;

    HttpClient();

    /// Cancels all that is under way.
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    TransferId send(HttpRequest request, DoneHandler onDone, ChunkHandler onChunk = {});

    /// The request's done handler gets Cancelled, unless it has been called already.
    void cancel(TransferId id);

    /// Sends and waits, for command-line tools and tests.
    HttpResult sendAndWait(HttpRequest request);

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace flamingo
