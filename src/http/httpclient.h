#pragma once

#include "core/time.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace flamingo
{

struct HttpRequest {
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers; ///< Each "Name: value".
    std::string body;
    Milliseconds connectTimeout{1000};
    Milliseconds totalTimeout{60000}; ///< 0 for none.
    Milliseconds silenceTimeout{0}; ///< Given up when nothing has arrived for so long; 0 for never.
};

struct HttpResponse {
    int status = 0;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body; ///< Empty when the body was streamed.
};

/// Why no whole response came.
struct HttpFailure {
    enum class Kind { NotSent, TimedOut, Broken, Cancelled };

    Kind kind = Kind::Broken; ///< NotSent only when provably no byte of the request left.
    std::string detail;
};

using HttpOutcome = tl::expected<HttpResponse, HttpFailure>;

/// Sends HTTP/1.1 requests on a thread of its own, by libcurl. The callbacks run on that thread.
class HttpClient
{
public:
    using RequestId = std::uint64_t;
    using DoneHandler = std::function<void(HttpOutcome outcome)>;
    using ChunkHandler = std::function<void(std::string_view chunk)>;

    /// The most connections kept at once to one host; 0 for no limit.
    explicit HttpClient(const std::string &name, long maxConnectionsPerHost = 0);

    /// Cancels all that is under way.
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    RequestId send(HttpRequest request, DoneHandler onDone, ChunkHandler onChunk = {});

    /// The request's done handler gets Cancelled, unless it has been called already.
    void cancel(RequestId id);

    /// Sends and waits, for command-line tools and tests.
    HttpOutcome sendAndWait(HttpRequest request);

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace flamingo
