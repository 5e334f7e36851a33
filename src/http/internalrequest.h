#pragma once

#include "http/connectionpool.h"

#include <functional>
#include <optional>
#include <string>

namespace flamingo
{

/// A whole answer to a call between processes of the system.
struct InternalResponse {
    int status = 0;
    std::string body;
};

/// A call between processes of the system: small, answered whole, given up after a limit.
struct InternalRequest {
    SocketAddress address;
    std::string method = "GET";
    std::string target;
    std::string body;
    Milliseconds connectTimeout{250};
    Milliseconds responseTimeout{900};
};

/// Sends a call; the handler gets nothing when no whole answer came within the limit. It is called once, on the loop's
/// thread, never from inside.
void sendInternalRequest(asio::io_context &context,
                         ConnectionPool &connections,
                         InternalRequest request,
                         std::function<void(std::optional<InternalResponse>)> onResponse);

} // namespace flamingo
