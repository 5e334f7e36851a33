#pragma once

#include "http/linkpool.h"

#include <functional>
#include <optional>
#include <string>

namespace flamingo
{

/// A whole answer to a call between processes of the system.
struct SimpleAnswer {
    int status = 0;
    std::string body;
};

/// A call between processes of the system: small, answered whole, given up after a limit.
struct SimpleCall {
    SocketAddress address;
    std::string method = "GET";
    std::string target;
    std::string body;
    Milliseconds connectLimit{250};
    Milliseconds answerLimit{900};
};

/// Sends a call; the handler gets nothing when no whole answer came within the limit. It is called once, on the loop's
/// thread, never from inside.
void sendSimpleCall(asio::io_context &context, LinkPool &links, SimpleCall call, std::function<void(std::optional<SimpleAnswer>)> onAnswer);

} // namespace flamingo
