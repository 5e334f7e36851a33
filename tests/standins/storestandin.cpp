// The stand-in for the platform: key-value service and list of instances, as docs/platform.md describes them.
// Faults are switched by POST /admin with a JSON object: down, delay_ms, lose_answers (share of writes whose answer is
// dropped after they took effect), writes_per_second, reads_per_second, list_lag_ms, leaving (ids).

#include "core/codec.h"
#include "core/stopsignal.h"
#include "core/worker.h"
#include "http/httpserver.h"
#include "standins/storestate.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

namespace
{
using namespace flamingo;

constexpr const char *Bytes = "application/octet-stream";
constexpr const char *Json = "application/json";
constexpr std::size_t MaxValueBytes = 1024 * 1024;

/// Counts calls and refuses those above a rate.
class RateLimit
{
public:
    explicit RateLimit(double perSecond)
        : m_perSecond(perSecond)
        , m_tokens(perSecond)
    {
    }

    void setRate(double perSecond)
    {
        m_perSecond = perSecond;
    }

    bool take(Instant now)
    {
        const std::chrono::duration<double> elapsed = now - m_last;
        m_last = now;
        m_tokens = std::min(m_perSecond, m_tokens + elapsed.count() * m_perSecond);
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    double m_perSecond;
    double m_tokens;
    Instant m_last = std::chrono::steady_clock::now();
};

class StoreStandIn
{
public:
    explicit StoreStandIn(std::uint64_t seed)
        : m_random(seed)
        , m_worker("store")
    {
        m_worker.timers().every(std::chrono::steady_clock::now(), Milliseconds(5), [this](Instant now) { answerWatches(now); });
        m_worker.start();
    }

    void handle(const HttpExchangePtr &exchange)
    {
        m_worker.post([this, exchange] {
            if (exchange->path() == "/admin") {
                administer(*exchange);
            } else {
                serve(exchange);
            }
        });
    }

    void stop()
    {
        m_worker.stop();
    }

private:
    struct Watch {
        HttpExchangePtr exchange;
        std::string prefix;
        std::uint64_t after;
        Instant until;
    };

    void later(std::function<void()> action)
    {
        if (m_delay.count() == 0) {
            action();
            return;
        }
        m_worker.timers().at(std::chrono::steady_clock::now() + m_delay, [action = std::move(action)](Instant) { action(); });
    }

    // An exchange that is kept and never answered is an answer that is lost.
    void lose(const HttpExchangePtr &exchange)
    {
        m_lost.push_back(exchange);
    }

    void serve(const HttpExchangePtr &exchange)
    {
        if (m_isDown) {
            lose(exchange);
            return;
        }
        const std::string path = exchange->path();
        const std::string prefix = "/v1/kv/";
        if (path.compare(0, prefix.size(), prefix) == 0) {
            serveKey(exchange, path.substr(prefix.size()));
        } else if (path == "/v1/watch") {
            count("watch");
            const auto after = std::strtoull(exchange->query("after").c_str(), nullptr, 10);
            const Milliseconds time(std::strtoll(exchange->query("timeout_ms").c_str(), nullptr, 10));
            m_watches.push_back({exchange, exchange->query("prefix"), after, std::chrono::steady_clock::now() + time});
        } else if (path == "/v1/keys") {
            count("list");
            exchange->respond(200, Json, dumpJson({{"keys", m_state.keys(exchange->query("prefix"))}}));
        } else if (path == "/v1/instances") {
            count("instances");
            listInstances(*exchange);
        } else {
            exchange->respond(404, Json, "{}");
        }
    }

    void serveKey(const HttpExchangePtr &exchange, const std::string &key)
    {
        const std::string method = exchange->method();
        const bool isRead = method == "GET";
        count(isRead ? "read" : "write");
        RateLimit &limit = isRead ? m_reads : m_writes;
        if (!limit.take(std::chrono::steady_clock::now())) {
            count("limited");
            exchange->respond(429, Json, "{}");
            return;
        }
        if (isRead) {
            later([this, exchange, key] {
                const auto value = m_state.read(key);
                if (value) {
                    exchange->respond(200, Bytes, value->bytes, {{"X-Version", std::to_string(value->version)}});
                } else {
                    exchange->respond(404, Json, "{}");
                }
            });
        } else if (method == "DELETE") {
            m_state.remove(key);
            later([exchange] { exchange->respond(200, Json, "{}"); });
        } else {
            write(exchange, key);
        }
    }

    void write(const HttpExchangePtr &exchange, const std::string &key)
    {
        if (exchange->body().size() > MaxValueBytes) {
            exchange->respond(413, Json, "{}");
            return;
        }
        const auto expected = std::strtoull(exchange->query("version").c_str(), nullptr, 10);
        const auto version = m_state.write(key, expected, exchange->body());
        if (version && std::uniform_real_distribution<>(0, 1)(m_random) < m_loseAnswers) {
            count("lost-answer");
            lose(exchange);
            return;
        }
        later([exchange, version] {
            if (version) {
                exchange->respond(200, Json, "{}", {{"X-Version", std::to_string(*version)}});
            } else {
                exchange->respond(409, Json, "{}");
            }
        });
    }

    void answerWatches(Instant now)
    {
        if (m_isDown) {
            return;
        }
        std::vector<Watch> waiting;
        for (Watch &watch : m_watches) {
            const auto keys = m_state.changedSince(watch.prefix, watch.after);
            if (keys.empty() && now < watch.until) {
                waiting.push_back(std::move(watch));
            } else {
                watch.exchange->respond(200, Json, dumpJson({{"revision", m_state.revision()}, {"keys", keys}}));
            }
        }
        m_watches = std::move(waiting);
    }

    void listInstances(HttpExchange &exchange)
    {
        const Instant now = std::chrono::steady_clock::now();
        nlohmann::json instances = nlohmann::json::array();
        for (const auto &[id, since] : m_leavingSince) {
            if (now - since >= m_listLag) {
                instances.push_back({{"id", id}, {"state", "leaving"}});
            }
        }
        exchange.respond(200, Json, dumpJson({{"instances", instances}}));
    }

    void administer(HttpExchange &exchange)
    {
        const auto json = parseJson(exchange.body());
        if (json && json->is_object()) {
            m_isDown = json->value("down", m_isDown);
            m_delay = Milliseconds(json->value("delay_ms", m_delay.count()));
            m_loseAnswers = json->value("lose_answers", m_loseAnswers);
            m_listLag = Milliseconds(json->value("list_lag_ms", m_listLag.count()));
            m_writes.setRate(json->value("writes_per_second", DefaultWrites));
            m_reads.setRate(json->value("reads_per_second", DefaultReads));
            for (const auto &id : json->value("leaving", std::vector<std::string>())) {
                m_leavingSince.emplace(id, std::chrono::steady_clock::now());
            }
        }
        exchange.respond(200, Json, dumpJson(m_counts));
    }

    void count(const std::string &call)
    {
        ++m_counts[call];
    }

    static constexpr double DefaultWrites = 500;
    static constexpr double DefaultReads = 2000;

    StoreState m_state;
    std::mt19937_64 m_random;
    Worker m_worker;
    bool m_isDown = false;
    Milliseconds m_delay{0};
    double m_loseAnswers = 0;
    Milliseconds m_listLag{3000};
    RateLimit m_writes{DefaultWrites};
    RateLimit m_reads{DefaultReads};
    std::vector<Watch> m_watches;
    std::vector<HttpExchangePtr> m_lost;
    std::map<std::string, Instant> m_leavingSince;
    std::map<std::string, std::uint64_t> m_counts;
};
} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("store-standin", "Stand-in for the platform's key-value service");
    options.add_options()("port", "Port on loopback", cxxopts::value<std::uint16_t>());
    options.add_options()("seed", "Seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    const auto arguments = options.parse(argc, argv);
    flamingo::blockStopSignals();
    StoreStandIn store(arguments["seed"].as<std::uint64_t>());
    flamingo::HttpServer server({"127.0.0.1", arguments["port"].as<std::uint16_t>(), 2, 2 * MaxValueBytes},
                                [&](const flamingo::HttpExchangePtr &exchange) { store.handle(exchange); });
    flamingo::waitForStopSignal();
    server.stop();
    store.stop();
    return 0;
}
