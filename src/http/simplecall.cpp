#include "http/simplecall.h"

#include <memory>

namespace flamingo
{

namespace
{
constexpr Milliseconds KeptIdle{10000};

struct Sending {
    SimpleAnswer answer;
    bool isOver = false;
    OutgoingCall call;
    std::unique_ptr<asio::steady_timer> limit;
    std::function<void(std::optional<SimpleAnswer>)> onAnswer;

    void finish(bool isAnswered)
    {
        if (isOver) {
            return;
        }
        isOver = true;
        limit->cancel();
        onAnswer(isAnswered ? std::optional<SimpleAnswer>(std::move(answer)) : std::nullopt);
    }
};
} // namespace

void sendSimpleCall(asio::io_context &context, LinkPool &links, SimpleCall call, std::function<void(std::optional<SimpleAnswer>)> onAnswer)
{
    auto sending = std::make_shared<Sending>();
    sending->onAnswer = std::move(onAnswer);
    LinkRequest request;
    request.address = call.address;
    request.head.method = std::move(call.method);
    request.head.target = std::move(call.target);
    request.head.fields.add("Host", call.address.text());
    request.body = std::move(call.body);
    request.maxIdle = KeptIdle;
    request.connectTimeout = call.connectLimit;
    CallHandlers handlers;
    handlers.onHead = [sending](const MessageHead &head) { sending->answer.status = head.status; };
    handlers.onBody = [sending](std::string_view bytes) { sending->answer.body += bytes; };
    handlers.onComplete = [sending] { sending->finish(true); };
    handlers.onFailure = [sending](const CallFailure &) { sending->finish(false); };
    sending->limit = std::make_unique<asio::steady_timer>(context);
    sending->limit->expires_after(call.answerLimit);
    sending->limit->async_wait([sending](const asio::error_code &ec) {
        if (!ec) {
            sending->call.cancel();
            sending->finish(false);
        }
    });
    sending->call = links.call(std::move(request), std::move(handlers));
}

} // namespace flamingo
