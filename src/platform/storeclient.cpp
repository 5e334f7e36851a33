#include "platform/storeclient.h"

#include "core/codec.h"

#include <fmt/format.h>

#include <cstdlib>

namespace flamingo
{

namespace
{
constexpr Milliseconds CallTimeout{1000};
constexpr Milliseconds WatchTime{10000};
constexpr Milliseconds WatchTimeout{12000};
constexpr long MaxConnections = 64;

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;

const char *callName(StoreOperation::Kind kind)
{
    switch (kind) {
    case StoreOperation::Kind::Read:
        return "call=\"read\"";
    case StoreOperation::Kind::Write:
        return "call=\"write\"";
    case StoreOperation::Kind::Delete:
        return "call=\"delete\"";
    }
    return "";
}

StoreReply replyOf(std::uint64_t id, HttpOutcome &outcome)
{
    StoreReply reply;
    reply.id = id;
    if (!outcome) {
        return reply;
    }
    const auto version = outcome->headers.find("x-version");
    if (version != outcome->headers.end()) {
        reply.version = std::strtoull(version->second.c_str(), nullptr, 10);
    }
    if (outcome->status == StatusOk) {
        reply.status = StoreReply::Status::Done;
        reply.value = std::move(outcome->body);
    } else if (outcome->status == StatusNotFound) {
        reply.status = StoreReply::Status::Absent;
    } else if (outcome->status == StatusConflict) {
        reply.status = StoreReply::Status::Conflict;
    }
    return reply;
}
} // namespace

StoreClient::StoreClient(std::string address, Metrics &metrics)
    : m_base("http://" + std::move(address))
    , m_metrics(metrics)
    , m_client("store", MaxConnections)
{
}

HttpRequest StoreClient::makeRequest(const std::string &method, const std::string &pathAndQuery) const
{
    HttpRequest request;
    request.method = method;
    request.url = m_base + pathAndQuery;
    request.totalTimeout = CallTimeout;
    return request;
}

void StoreClient::perform(const StoreOperation &operation, std::function<void(StoreReply)> onReply)
{
    m_metrics.add("flamingo_store_calls_total", callName(operation.kind));
    HttpRequest request;
    switch (operation.kind) {
    case StoreOperation::Kind::Read:
        request = makeRequest("GET", "/v1/kv/" + operation.key);
        break;
    case StoreOperation::Kind::Write:
        request = makeRequest("PUT", fmt::format("/v1/kv/{}?version={}", operation.key, operation.expectedVersion));
        request.headers.emplace_back("Content-Type: application/octet-stream");
        request.body = operation.value;
        break;
    case StoreOperation::Kind::Delete:
        request = makeRequest("DELETE", "/v1/kv/" + operation.key);
        break;
    }
    const Instant start = std::chrono::steady_clock::now();
    m_client.send(std::move(request), [this, id = operation.id, start, onReply = std::move(onReply)](HttpOutcome outcome) {
        m_metrics.observe("flamingo_store_call_milliseconds", std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count());
        StoreReply reply = replyOf(id, outcome);
        if (reply.status == StoreReply::Status::Unknown) {
            m_metrics.add("flamingo_store_unanswered_total");
        }
        onReply(std::move(reply));
    });
}

void StoreClient::watch(const std::string &prefix, std::uint64_t afterRevision, std::function<void(WatchResult)> onResult)
{
    m_metrics.add("flamingo_store_calls_total", "call=\"watch\"");
    auto request = makeRequest("GET", fmt::format("/v1/watch?prefix={}&after={}&timeout_ms={}", prefix, afterRevision, WatchTime.count()));
    request.totalTimeout = WatchTimeout;
    m_client.send(std::move(request), [onResult = std::move(onResult)](const HttpOutcome &outcome) {
        WatchResult result;
        const auto json = outcome && outcome->status == StatusOk ? parseJson(outcome->body) : std::nullopt;
        if (json && json->is_object()) {
            result.isOk = true;
            result.revision = json->value("revision", std::uint64_t(0));
            result.keys = json->value("keys", std::vector<std::string>());
        }
        onResult(std::move(result));
    });
}

void StoreClient::listInstances(std::function<void(std::vector<ListedInstance>)> onList)
{
    m_metrics.add("flamingo_store_calls_total", "call=\"instances\"");
    m_client.send(makeRequest("GET", "/v1/instances"), [onList = std::move(onList)](const HttpOutcome &outcome) {
        const auto json = outcome && outcome->status == StatusOk ? parseJson(outcome->body) : std::nullopt;
        if (!json || !json->is_object() || !json->contains("instances")) {
            return;
        }
        std::vector<ListedInstance> instances;
        for (const auto &item : json->at("instances")) {
            instances.push_back({item.value("id", ""), item.value("state", "") == "leaving"});
        }
        onList(std::move(instances));
    });
}

} // namespace flamingo
