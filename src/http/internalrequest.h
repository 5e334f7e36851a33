#pragma once

#include "http/connectionpool.h"

#include <functional>
#include <optional>
#include <string>

namespace flamingo
{

/// A complete response to an InternalRequest.
struct InternalResponse {
    int status = 0;
    std::string body;
};

/// A small request between processes of the system, with a timeout for the complete response.
struct InternalRequest {
    SocketAddress address;
    std::string method = "GET";
    std::string target;
    std::string body;
    Milliseconds connectTimeout{250};
    Milliseconds responseTimeout{900};
};

/// Sends a request. The handler gets nothing if no complete response arrives within the timeout. It is called once, on
/// the thread of the event loop, and never from inside this function.
void sendInternalRequest(asio::io_context &context,
                         ConnectionPool &connections,
                         InternalRequest request,
                         std::function<void(std::optional<InternalResponse>)> onResponse);

} // namespace flamingo
