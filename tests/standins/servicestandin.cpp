// Simulates a service. POST /v1/operations/NAME counts an effect for the request's Idempotency-Key and responds after a
// delay; GET /effects returns the counts by key. Requests with the same key aren't deduplicated, so that a repeated
// request shows as a count above 1, as with a service that ignores the key. POST /admin sets: delay_ms, hang (never
// responds), lose_answers (the share of requests without a response), leaving (refuses new requests).

#include "core/codec.h"
#include "core/stopsignal.h"
#include "core/worker.h"
#include "http/httpserver.h"

#include <cxxopts.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace
{
using namespace flamingo;

class ServiceStandIn
{
public:
    ServiceStandIn(std::uint64_t seed, Milliseconds delay)
        : m_random(seed)
        , m_delay(delay)
        , m_worker("service")
    {
        m_worker.start();
    }

    void handle(const HttpExchangePtr &exchange)
    {
        m_worker.post([this, exchange] {
            const std::string path = exchange->path();
            if (path == "/effects") {
                exchange->respond(200, "application/json", dumpJson(m_effectCounts));
            } else if (path == "/admin") {
                applyAdminSettings(*exchange);
            } else {
                runOperation(exchange);
            }
        });
    }

    void stop()
    {
        m_worker.stop();
    }

private:
    void runOperation(const HttpExchangePtr &exchange)
    {
        if (m_isLeaving) {
            exchange->respond(410, "application/json", "{}");
            return;
        }
        ++m_effectCounts[exchange->header("Idempotency-Key")];
        const bool isLost = m_isHung || std::uniform_real_distribution<>(0, 1)(m_random) < m_lostResponseShare;
        if (isLost) {
            m_unanswered.push_back(exchange);
            return;
        }
        m_worker.timers().at(std::chrono::steady_clock::now() + m_delay, [exchange](Instant) {
            const auto body = parseJson(exchange->body());
            exchange->respond(200, "application/json", dumpJson({{"done", exchange->header("Idempotency-Key")}, {"echo", body.value_or(nullptr)}}));
        });
    }

    void applyAdminSettings(HttpExchange &exchange)
    {
        const auto json = parseJson(exchange.body());
        if (json && json->is_object()) {
            m_delay = Milliseconds(json->value("delay_ms", m_delay.count()));
            m_isHung = json->value("hang", m_isHung);
            m_isLeaving = json->value("leaving", m_isLeaving);
            m_lostResponseShare = json->value("lose_answers", m_lostResponseShare);
        }
        exchange.respond(200, "application/json", "{}");
    }

    std::mt19937_64 m_random;
    Milliseconds m_delay;
    bool m_isHung = false;
    bool m_isLeaving = false;
    double m_lostResponseShare = 0;
    std::map<std::string, int> m_effectCounts;
    std::vector<HttpExchangePtr> m_unanswered;
    Worker m_worker;
};
} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("service-standin", "Simulates a service");
    options.add_options()("port", "Port on loopback", cxxopts::value<std::uint16_t>());
    options.add_options()("seed", "Seed of the lost responses", cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options()("delay-ms", "Duration of an operation in milliseconds", cxxopts::value<int>()->default_value("5"));
    const auto arguments = options.parse(argc, argv);
    flamingo::blockStopSignals();
    ServiceStandIn service(arguments["seed"].as<std::uint64_t>(), flamingo::Milliseconds(arguments["delay-ms"].as<int>()));
    flamingo::HttpServer server({"127.0.0.1", arguments["port"].as<std::uint16_t>(), 1},
                                [&](const flamingo::HttpExchangePtr &exchange) { service.handle(exchange); });
    flamingo::waitForStopSignal();
    server.stop();
    service.stop();
    return 0;
}
