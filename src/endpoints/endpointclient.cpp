#include "endpoints/endpointclient.h"

#include "core/codec.h"
#include "http/eventsplitter.h"

#include <fmt/format.h>

#include <memory>

namespace flamingo
{

namespace
{
constexpr Milliseconds ConnectTimeout{500};
constexpr Milliseconds OrderTimeout{2000};
/// An engine writes at least a comment line each second while a request waits, so silence means that the connection is dead.
constexpr Milliseconds EngineSilence{5000};

constexpr int StatusOk = 200;
constexpr int StatusGone = 410;
constexpr int StatusTooMany = 429;
constexpr int StatusUnavailable = 503;

/// A model answer as it arrives.
struct ModelAnswer {
    EventSplitter events;
    EndpointResult result;
    bool isComplete = false;
};

void takeEvent(ModelAnswer &answer, const std::string &payload, const EndpointClient::DeltaHandler &onDelta)
{
    if (payload == "[DONE]") {
        answer.isComplete = true;
        return;
    }
    const auto json = parseJson(payload);
    if (!json || !json->is_object()) {
        return;
    }
    if (json->contains("usage") && (*json)["usage"].is_object()) {
        const auto &usage = (*json)["usage"];
        answer.result.promptTokens = Tokens(usage.value("prompt_tokens", std::int64_t(0)));
        answer.result.completionTokens = Tokens(usage.value("completion_tokens", std::int64_t(0)));
        answer.result.cachedTokens = Tokens(usage.value("cached_tokens", std::int64_t(0)));
    }
    const auto choices = json->find("choices");
    if (choices == json->end() || !choices->is_array() || choices->empty()) {
        return;
    }
    const auto delta = (*choices)[0].find("delta");
    if (delta != (*choices)[0].end() && delta->is_object() && delta->contains("content")) {
        const auto text = (*delta)["content"].get<std::string>();
        answer.result.text += text;
        onDelta(answer.result.attempt, text);
    }
}

/// Whether the request has run, as far as the status tells. A plain service's 503 may come from anything on the way.
EndpointResult::Status statusOf(int httpStatus, bool isModel)
{
    if (httpStatus == StatusOk) {
        return EndpointResult::Status::Answered;
    }
    if (httpStatus == StatusGone) {
        return EndpointResult::Status::Leaving;
    }
    if (httpStatus == StatusTooMany || (httpStatus == StatusUnavailable && isModel)) {
        return EndpointResult::Status::Refused;
    }
    return httpStatus < 500 ? EndpointResult::Status::Rejected : EndpointResult::Status::Lost;
}

EndpointResult::Status statusOf(const HttpFailure &failure)
{
    switch (failure.kind) {
    case HttpFailure::Kind::NotSent:
        return EndpointResult::Status::NotSent;
    case HttpFailure::Kind::Cancelled:
        return EndpointResult::Status::Cancelled;
    case HttpFailure::Kind::TimedOut:
    case HttpFailure::Kind::Broken:
        return EndpointResult::Status::Lost;
    }
    return EndpointResult::Status::Lost;
}

HttpRequest makeRequest(const EndpointRequest &request, const std::string &path)
{
    HttpRequest http;
    http.method = "POST";
    http.url = fmt::format("http://{}{}", request.address, path);
    http.headers = {"Content-Type: application/json",
                    fmt::format("X-Request-Id: {}", request.attempt.value()),
                    fmt::format("X-Program: {}", request.program.value()),
                    fmt::format("X-Fencing-Number: {}", request.fence.value()),
                    fmt::format("X-Priority: {}", priorityName(request.priority))};
    http.connectTimeout = ConnectTimeout;
    http.totalTimeout = request.timeout;
    return http;
}
} // namespace

EndpointClient::EndpointClient(DeltaHandler onDelta, ResultHandler onResult, MemoryHandler onMemory)
    : m_onDelta(std::move(onDelta))
    , m_onResult(std::move(onResult))
    , m_onMemory(std::move(onMemory))
{
}

void EndpointClient::send(const EndpointRequest &request)
{
    if (request.isModel) {
        sendModelCall(request);
    } else {
        sendServiceCall(request);
    }
}

void EndpointClient::remember(const EndpointRequest &request, HttpClient::RequestId id)
{
    m_sendings[request.attempt] = {id, request.address, request.isModel};
}

void EndpointClient::finish(EndpointResult result)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_sendings.erase(result.attempt);
    }
    m_onResult(std::move(result));
}

void EndpointClient::sendModelCall(const EndpointRequest &request)
{
    HttpRequest http = makeRequest(request, "/v1/chat/completions");
    http.silenceTimeout = EngineSilence;
    http.body =
        fmt::format(R"({{"messages":{},"max_tokens":{},"stream":true,"resume":{}}})", request.body, request.maxTokens.value(), dumpJson(request.resumeText));
    auto answer = std::make_shared<ModelAnswer>();
    answer->result.attempt = request.attempt;
    answer->result.endpoint = request.endpoint;
    const auto onDone = [this, answer](const HttpOutcome &outcome) {
        EndpointResult &result = answer->result;
        if (!outcome) {
            result.status = statusOf(outcome.error());
            result.detail = outcome.error().detail;
        } else {
            result.status = statusOf(outcome->status, true);
            result.detail = fmt::format("status {}", outcome->status);
            if (result.status == EndpointResult::Status::Answered && !answer->isComplete) {
                result.status = EndpointResult::Status::Lost;
                result.detail = "the stream ended early";
            }
        }
        finish(std::move(result));
    };
    const auto onChunk = [this, answer](std::string_view chunk) {
        for (const StreamEvent &event : answer->events.feed(chunk)) {
            if (!event.data.empty()) {
                takeEvent(*answer, event.data, m_onDelta);
            }
        }
    };
    const std::lock_guard<std::mutex> lock(m_mutex);
    remember(request, m_client.send(std::move(http), onDone, onChunk));
}

void EndpointClient::sendServiceCall(const EndpointRequest &request)
{
    HttpRequest http = makeRequest(request, "/v1/operations/" + request.operation);
    http.headers.push_back(fmt::format("Idempotency-Key: {}/{}", request.program.value(), request.number.value()));
    http.body = request.body;
    EndpointResult base;
    base.attempt = request.attempt;
    base.endpoint = request.endpoint;
    const auto onDone = [this, base](HttpOutcome outcome) {
        EndpointResult result = base;
        if (!outcome) {
            result.status = statusOf(outcome.error());
            result.detail = outcome.error().detail;
        } else {
            result.status = statusOf(outcome->status, false);
            result.detail = fmt::format("status {}", outcome->status);
            result.text = std::move(outcome->body);
        }
        finish(std::move(result));
    };
    const std::lock_guard<std::mutex> lock(m_mutex);
    remember(request, m_client.send(std::move(http), onDone));
}

void EndpointClient::cancel(AttemptId attempt)
{
    Sending sending;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto it = m_sendings.find(attempt);
        if (it == m_sendings.end()) {
            return;
        }
        sending = it->second;
    }
    m_client.cancel(sending.request);
    if (sending.isModel) {
        HttpRequest order;
        order.method = "POST";
        order.url = fmt::format("http://{}/v1/requests/{}/cancel", sending.address, attempt.value());
        order.totalTimeout = OrderTimeout;
        m_client.send(std::move(order), [](const HttpOutcome &) {});
    }
}

void EndpointClient::releaseMemory(const std::string &address, const ProgramId &program, FencingNumber fence)
{
    HttpRequest order;
    order.method = "POST";
    order.url = fmt::format("http://{}/v1/memory/{}/release", address, program.value());
    order.headers = {fmt::format("X-Fencing-Number: {}", fence.value())};
    order.totalTimeout = OrderTimeout;
    m_client.send(std::move(order), [](const HttpOutcome &) {});
}

void EndpointClient::listMemory(const EndpointId &endpoint, const std::string &address)
{
    HttpRequest order;
    order.url = fmt::format("http://{}/v1/memory", address);
    order.totalTimeout = OrderTimeout;
    m_client.send(std::move(order), [this, endpoint](const HttpOutcome &outcome) {
        const auto json = outcome && outcome->status == StatusOk ? parseJson(outcome->body) : std::nullopt;
        if (json && json->is_object() && json->contains("programs")) {
            m_onMemory(endpoint, (*json)["programs"].get<std::vector<ProgramId>>());
        }
    });
}

} // namespace flamingo
