#include "http/internalrequest.h"

#include <memory>
#include <string_view>
#include <utility>

namespace flamingo
{

namespace
{
constexpr Milliseconds MaxIdleTime{10000};

struct PendingRequest {
    explicit PendingRequest(std::shared_ptr<ResponseBytes> bytes)
        : responseBytes(std::move(bytes))
    {
    }

    ~PendingRequest()
    {
        responseBytes->release(heldBytes);
    }

    PendingRequest(const PendingRequest &) = delete;
    PendingRequest &operator=(const PendingRequest &) = delete;

    std::shared_ptr<ResponseBytes> responseBytes;
    std::size_t heldBytes = 0; ///< Of the response, as counted by responseBytes.
    InternalResponse response;
    bool isFinished = false;
    RequestHandle handle;
    std::unique_ptr<asio::steady_timer> timer;
    std::function<void(std::optional<InternalResponse>)> onResponse;

    void append(std::string_view bytes)
    {
        if (isFinished) {
            return;
        }
        if (!responseBytes->tryGrow(heldBytes, bytes.size())) {
            handle.cancel();
            finish(false);
            return;
        }
        heldBytes += bytes.size();
        response.body += bytes;
    }

    void finish(bool isComplete)
    {
        if (isFinished) {
            return;
        }
        isFinished = true;
        timer->cancel();
        if (!isComplete) {
            response = {};
        }
        onResponse(isComplete ? std::optional<InternalResponse>(std::move(response)) : std::nullopt);
    }
};
} // namespace

void sendInternalRequest(asio::io_context &context,
                         ConnectionPool &connections,
                         InternalRequest request,
                         std::function<void(std::optional<InternalResponse>)> onResponse)
{
    auto pending = std::make_shared<PendingRequest>(connections.responseBytes());
    pending->onResponse = std::move(onResponse);
    ClientRequest outgoing;
    outgoing.address = request.address;
    outgoing.head.method = std::move(request.method);
    outgoing.head.target = std::move(request.target);
    outgoing.head.fields.add("Host", request.address.text());
    outgoing.body = std::move(request.body);
    outgoing.maxIdleTime = MaxIdleTime;
    outgoing.connectTimeout = request.connectTimeout;
    ResponseHandlers handlers;
    handlers.onHead = [pending](const MessageHead &head) { pending->response.status = head.status; };
    handlers.onBody = [pending](std::string_view bytes) { pending->append(bytes); };
    handlers.onComplete = [pending] { pending->finish(true); };
    handlers.onFailure = [pending](const RequestFailure &) { pending->finish(false); };
    pending->timer = std::make_unique<asio::steady_timer>(context);
    pending->timer->expires_after(request.responseTimeout);
    pending->timer->async_wait([pending](const asio::error_code &ec) {
        if (!ec) {
            pending->handle.cancel();
            pending->finish(false);
        }
    });
    pending->handle = connections.send(std::move(outgoing), std::move(handlers));
}

} // namespace flamingo
