// Simulates a model engine with the interface that docs/endpoints.md describes. POST /admin sets: slowdown, slots, leaving
// (refuses new requests), break_after (bytes of text after which a stream is cut off; 0 for never), silent (streams send
// nothing more).

#include "core/codec.h"
#include "core/stopsignal.h"
#include "core/worker.h"
#include "http/httpserver.h"
#include "standins/enginemodel.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>

namespace
{
using namespace flamingo;

constexpr Milliseconds StepPeriod{1};
constexpr Milliseconds KeepAlivePeriod{500};

std::int64_t countWords(const std::string &text)
{
    std::int64_t words = 0;
    bool isInside = false;
    for (const char c : text) {
        const bool isSpace = c == ' ' || c == '\n';
        words += !isSpace && !isInside ? 1 : 0;
        isInside = !isSpace;
    }
    return words;
}

class EngineStandIn
{
public:
    explicit EngineStandIn(EngineSettings settings)
        : m_model(settings)
        , m_worker("engine")
    {
        const Instant now = std::chrono::steady_clock::now();
        m_worker.timers().every(now, StepPeriod, [this](Instant at) {
            if (!m_isSilent) {
                m_model.advance(at);
            }
        });
        m_worker.timers().every(now, KeepAlivePeriod, [this](Instant) { keepAlive(); });
        m_worker.start();
    }

    void handle(const HttpExchangePtr &exchange)
    {
        m_worker.post([this, exchange] { route(exchange); });
    }

    void stop()
    {
        m_worker.stop();
    }

private:
    struct Stream {
        HttpExchangePtr exchange;
        std::size_t sentBytes = 0;
    };

    void route(const HttpExchangePtr &exchange)
    {
        const std::string path = exchange->path();
        if (path == "/v1/chat/completions") {
            complete(exchange);
        } else if (path.compare(0, 13, "/v1/requests/") == 0) {
            const std::string id = path.substr(13, path.rfind('/') - 13);
            m_model.cancel(id);
            m_streams.erase(id);
            exchange->respond(200, "application/json", "{}");
        } else if (path == "/v1/memory") {
            exchange->respond(200, "application/json", dumpJson({{"programs", m_model.cachedPrograms()}}));
        } else if (path.compare(0, 11, "/v1/memory/") == 0) {
            const std::string program = path.substr(11, path.rfind('/') - 11);
            const bool isDone = m_model.releaseCache(program, std::strtoull(exchange->header("X-Fencing-Number").c_str(), nullptr, 10));
            exchange->respond(isDone ? 200 : 409, "application/json", "{}");
        } else if (path == "/v1/load") {
            const nlohmann::json load = {{"running", m_model.runningCount()},
                                         {"waiting", m_model.waitingCount()},
                                         {"prefilled", m_model.prefilledTokens()},
                                         {"requests", m_requestCount}};
            exchange->respond(200, "application/json", dumpJson(load));
        } else if (path == "/admin") {
            applyAdminSettings(*exchange);
        } else {
            exchange->respond(404, "application/json", "{}");
        }
    }

    void complete(const HttpExchangePtr &exchange)
    {
        if (m_isLeaving) {
            exchange->respond(410, "application/json", "{}");
            return;
        }
        const auto body = parseJson(exchange->body());
        if (!body || !body->is_object() || !body->contains("messages")) {
            exchange->respond(400, "application/json", "{}");
            return;
        }
        ++m_requestCount;
        EngineJob job;
        job.id = exchange->header("X-Request-Id");
        job.program = exchange->header("X-Program");
        const std::string priority = exchange->header("X-Priority");
        job.priority = priority == "urgent" ? 0 : (priority == "batch" ? 2 : 1);
        for (const auto &message : (*body)["messages"]) {
            const std::string content = message["content"].is_string() ? message["content"].get<std::string>() : dumpJson(message["content"]);
            job.prompt += message.value("role", "") + ": " + content + "\n";
            job.promptTokens += countWords(content) + 4;
        }
        job.maxTokens = body->value("max_tokens", std::int64_t(64));
        job.resumeFromWord = static_cast<std::size_t>(countWords(body->value("resume", "")));
        exchange->startStream(200, "text/event-stream");
        m_streams[job.id] = {exchange, 0};
        job.onText = [this, id = job.id](const std::string &text) {
            writeEvent(id, dumpJson({{"choices", {{{"index", 0}, {"delta", {{"content", text}}}}}}}), text.size());
        };
        job.onDone = [this, id = job.id](std::int64_t prompt, std::int64_t generated, std::int64_t cached) {
            const nlohmann::json usage = {{"prompt_tokens", prompt}, {"completion_tokens", generated}, {"cached_tokens", cached}};
            writeEvent(id, dumpJson({{"choices", nlohmann::json::array()}, {"usage", usage}}), 0);
            writeEvent(id, "[DONE]", 0);
            const auto it = m_streams.find(id);
            if (it != m_streams.end()) {
                it->second.exchange->finishStream();
                m_streams.erase(it);
            }
        };
        m_model.submit(std::move(job), std::chrono::steady_clock::now());
    }

    void writeEvent(const std::string &id, const std::string &payload, std::size_t size)
    {
        const auto it = m_streams.find(id);
        if (it == m_streams.end()) {
            return;
        }
        it->second.sentBytes += size;
        it->second.exchange->write("data: " + payload + "\n\n");
        if (m_breakAfterBytes > 0 && it->second.sentBytes >= m_breakAfterBytes) {
            m_model.cancel(id);
            it->second.exchange->finishStream();
            m_streams.erase(it);
        }
    }

    void keepAlive()
    {
        if (m_isSilent) {
            return;
        }
        for (auto &[id, stream] : m_streams) {
            stream.exchange->write(": waiting\n\n");
        }
    }

    void applyAdminSettings(HttpExchange &exchange)
    {
        const auto json = parseJson(exchange.body());
        if (json && json->is_object()) {
            m_model.settings().slowdown = json->value("slowdown", m_model.settings().slowdown);
            m_model.settings().slots = json->value("slots", m_model.settings().slots);
            m_isLeaving = json->value("leaving", m_isLeaving);
            m_isSilent = json->value("silent", m_isSilent);
            m_breakAfterBytes = json->value("break_after", m_breakAfterBytes);
        }
        exchange.respond(200, "application/json", "{}");
    }

    EngineModel m_model;
    std::map<std::string, Stream> m_streams;
    bool m_isLeaving = false;
    bool m_isSilent = false;
    std::size_t m_breakAfterBytes = 0;
    std::uint64_t m_requestCount = 0;
    Worker m_worker;
};
} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("engine-standin", "Simulates a model engine");
    options.add_options()("port", "Port on loopback", cxxopts::value<std::uint16_t>());
    options.add_options()("slots", "Maximum number of sequences in a batch", cxxopts::value<int>()->default_value("8"));
    options.add_options()("cache-tokens", "Size of the prefix cache in tokens", cxxopts::value<std::int64_t>()->default_value("40000"));
    options.add_options()("decode-ms", "Duration of a decoding step with one sequence, in milliseconds", cxxopts::value<double>()->default_value("8"));
    options.add_options()("ignore-fencing", "Accept requests with outdated fencing tokens");
    const auto arguments = options.parse(argc, argv);
    flamingo::blockStopSignals();
    flamingo::EngineSettings settings;
    settings.slots = arguments["slots"].as<int>();
    settings.cacheTokens = arguments["cache-tokens"].as<std::int64_t>();
    settings.decodeMs = arguments["decode-ms"].as<double>();
    settings.checksFencing = arguments.count("ignore-fencing") == 0;
    EngineStandIn engine(settings);
    flamingo::HttpServer server({"127.0.0.1", arguments["port"].as<std::uint16_t>(), 1, 16 * 1024 * 1024},
                                [&](const flamingo::HttpExchangePtr &exchange) { engine.handle(exchange); });
    flamingo::waitForStopSignal();
    server.stop();
    engine.stop();
    return 0;
}
