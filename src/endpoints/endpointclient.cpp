#include "endpoints/endpointclient.h"

#include "core/codec.h"
#include "core/decoding.h"
#include "http/eventsplitter.h"

#include <fmt/format.h>

#include <memory>

namespace flamingo
{

namespace
{
constexpr Milliseconds ConnectTimeout{500};
constexpr Milliseconds CommandTimeout{2000};
/// An engine writes at least a comment line each second while a request waits, so a silent connection is dead.
constexpr Milliseconds EngineSilenceTimeout{5000};

constexpr int StatusOk = 200;
constexpr int StatusGone = 410;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusServiceUnavailable = 503;

/// A model's streamed answer, as far as it has arrived.
struct ModelAnswer {
    EventSplitter events;
    EndpointResult result;
    bool isComplete = false;
};

/// A field that is missing or isn't a whole number counts as 0.
Tokens tokenCount(const nlohmann::json &usage, const char *name)
{
    const auto it = usage.find(name);
    return Tokens(it != usage.end() && it->is_number_integer() ? it->get<std::int64_t>() : 0);
}

void applyStreamEvent(ModelAnswer &answer, const std::string &payload, const EndpointClient::DeltaHandler &onDelta)
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
        answer.result.promptTokens = tokenCount(usage, "prompt_tokens");
        answer.result.completionTokens = tokenCount(usage, "completion_tokens");
        answer.result.cachedTokens = tokenCount(usage, "cached_tokens");
    }
    const auto choices = json->find("choices");
    if (choices == json->end() || !choices->is_array() || choices->empty() || !choices->front().is_object()) {
        return;
    }
    const auto delta = choices->front().find("delta");
    if (delta == choices->front().end() || !delta->is_object()) {
        return;
    }
    // The content is null in events that only carry a role or the reason for the end.
    const auto content = delta->find("content");
    if (content != delta->end() && content->is_string()) {
        const auto text = content->get<std::string>();
        answer.result.text += text;
        onDelta(answer.result.attempt, text);
    }
}

/// Whether the request has run, as far as the HTTP status tells. A plain service's 503 may come from an intermediary, so it
/// doesn't show that the request hasn't run.
EndpointResult::Status statusOf(int httpStatus, bool isModel)
{
    if (httpStatus == StatusOk) {
        return EndpointResult::Status::Answered;
    }
    if (httpStatus == StatusGone) {
        return EndpointResult::Status::Leaving;
    }
    if (httpStatus == StatusTooManyRequests || (httpStatus == StatusServiceUnavailable && isModel)) {
        return EndpointResult::Status::Refused;
    }
    return httpStatus < 500 ? EndpointResult::Status::Rejected : EndpointResult::Status::OutcomeUnknown;
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
        return EndpointResult::Status::OutcomeUnknown;
    }
    return EndpointResult::Status::OutcomeUnknown;
}

HttpRequest makeHttpRequest(const EndpointRequest &request, const std::string &path)
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

void EndpointClient::trackRequest(const EndpointRequest &request, HttpClient::TransferId httpRequest)
{
    m_inFlightRequests[request.attempt] = {httpRequest, request.address, request.isModel};
}

void EndpointClient::finish(EndpointResult result)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_inFlightRequests.erase(result.attempt);
    }
    m_onResult(std::move(result));
}

void EndpointClient::sendModelCall(const EndpointRequest &request)
{
    HttpRequest http = makeHttpRequest(request, "/v1/chat/completions");
    http.idleTimeout = EngineSilenceTimeout;
    http.body =
        fmt::format(R"({{"messages":{},"max_tokens":{},"stream":true,"resume":{}}})", request.body, request.maxTokens.value(), dumpJson(request.resumeText));
    auto answer = std::make_shared<ModelAnswer>();
    answer->result.attempt = request.attempt;
    answer->result.endpoint = request.endpoint;
    const auto onDone = [this, answer](const HttpResult &outcome) {
        EndpointResult &result = answer->result;
        if (!outcome) {
            result.status = statusOf(outcome.error());
            result.detail = outcome.error().detail;
        } else {
            result.status = statusOf(outcome->status, true);
            result.detail = fmt::format("status {}", outcome->status);
            if (result.status == EndpointResult::Status::Answered && !answer->isComplete) {
                result.status = EndpointResult::Status::OutcomeUnknown;
                result.detail = "the stream ended early";
            }
        }
        finish(std::move(result));
    };
    const auto onChunk = [this, answer](std::string_view chunk) {
        for (const StreamEvent &event : answer->events.feed(chunk)) {
            if (!event.data.empty()) {
                applyStreamEvent(*answer, event.data, m_onDelta);
            }
        }
    };
    const std::lock_guard<std::mutex> lock(m_mutex);
    trackRequest(request, m_client.send(std::move(http), onDone, onChunk));
}

void EndpointClient::sendServiceCall(const EndpointRequest &request)
{
    HttpRequest http = makeHttpRequest(request, "/v1/operations/" + request.operation);
    http.headers.push_back(fmt::format("Idempotency-Key: {}/{}", request.program.value(), request.number.value()));
    http.body = request.body;
    EndpointResult resultTemplate;
    resultTemplate.attempt = request.attempt;
    resultTemplate.endpoint = request.endpoint;
    const auto onDone = [this, resultTemplate](HttpResult outcome) {
        EndpointResult result = resultTemplate;
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
    trackRequest(request, m_client.send(std::move(http), onDone));
}

void EndpointClient::cancel(AttemptId attempt)
{
    InFlightRequest inFlight;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto it = m_inFlightRequests.find(attempt);
        if (it == m_inFlightRequests.end()) {
            return;
        }
        inFlight = it->second;
    }
    m_client.cancel(inFlight.httpRequest);
    if (inFlight.isModel) {
        HttpRequest command;
        command.method = "POST";
        command.url = fmt::format("http://{}/v1/requests/{}/cancel", inFlight.address, attempt.value());
        command.totalTimeout = CommandTimeout;
        m_client.send(std::move(command), [](const HttpResult &) {});
    }
}

void EndpointClient::releaseMemory(const std::string &address, const ProgramId &program, FencingNumber fence)
{
    HttpRequest command;
    command.method = "POST";
    command.url = fmt::format("http://{}/v1/memory/{}/release", address, program.value());
    command.headers = {fmt::format("X-Fencing-Number: {}", fence.value())};
    command.totalTimeout = CommandTimeout;
    m_client.send(std::move(command), [](const HttpResult &) {});
}

void EndpointClient::listMemory(const EndpointId &endpoint, const std::string &address)
{
    HttpRequest query;
    query.url = fmt::format("http://{}/v1/memory", address);
    query.totalTimeout = CommandTimeout;
    m_client.send(std::move(query), [this, endpoint](const HttpResult &outcome) {
        if (!outcome || outcome->status != StatusOk) {
            return;
        }
        const auto programs = decodeJson<std::vector<ProgramId>>(
            "engine-memory", outcome->body, [](const nlohmann::json &json) { return json.at("programs").get<std::vector<ProgramId>>(); });
        if (programs) {
            m_onMemory(endpoint, *programs);
        }
    });
}

} // namespace flamingo
