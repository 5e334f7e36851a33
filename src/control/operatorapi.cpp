#include "control/operatorapi.h"

#include "core/codec.h"
#include "core/crypto.h"
#include "core/log.h"
#include "http/errorbody.h"

namespace flamingo
{

namespace
{
constexpr const char *JsonContentType = "application/json";

/// The part of the path after the prefix; empty when the path doesn't begin with the prefix.
std::string pathSuffix(const std::string &path, const std::string &prefix)
{
    return path.compare(0, prefix.size(), prefix) == 0 ? path.substr(prefix.size()) : std::string();
}
} // namespace

OperatorApi::OperatorApi(ControlCore &core, Metrics &metrics, std::string token, PostToCore postToCore)
    : m_core(core)
    , m_metrics(metrics)
    , m_token(std::move(token))
    , m_postToCore(std::move(postToCore))
{
}

void OperatorApi::handle(const HttpExchangePtr &exchange)
{
    const std::string path = exchange->path();
    const std::string method = exchange->method();
    if (method == "GET" && path == "/metrics") {
        exchange->respond(200, "text/plain", m_metrics.render());
        return;
    }
    if (!isEqualConstantTime(bearerToken(*exchange), m_token)) {
        m_metrics.addRefusal(ErrorKind::Unauthenticated);
        respondError(*exchange, {ErrorKind::Unauthenticated, "the operators' token is needed", std::nullopt});
        return;
    }
    const std::string instance = pathSuffix(path, "/v1/drain/instances/");
    const std::string program = pathSuffix(path, "/v1/programs/");
    if (method == "POST" && path == "/v1/tickets") {
        applyTicket(exchange);
    } else if (method == "GET" && path == "/v1/configuration") {
        showConfiguration(exchange);
    } else if (method == "GET" && path == "/v1/status") {
        showStatus(exchange);
    } else if (method == "POST" && !instance.empty()) {
        drain(exchange, instance);
    } else if (method == "GET" && !program.empty()) {
        explain(exchange, program);
    } else {
        respondError(*exchange, {ErrorKind::NotFound, "there is no such page", std::nullopt});
    }
}

void OperatorApi::applyTicket(const HttpExchangePtr &exchange)
{
    const auto json = parseJson(exchange->body());
    auto ticket = json ? parseTicket(*json) : Result<Ticket>(failure(ErrorKind::TicketMalformed, "the body is not JSON"));
    if (!ticket) {
        m_metrics.addRefusal(ticket.error().kind);
        respondError(*exchange, ticket.error());
        return;
    }
    m_postToCore([this, exchange, ticket = std::move(*ticket)]() mutable {
        const TicketNumber number = ticket.number;
        m_core.submitTicket(std::move(ticket), [this, exchange, number](const Result<void> &result) {
            if (!result) {
                m_metrics.addRefusal(result.error().kind);
                logChange("ticket-rejected", "ticket={} kind={}", number.value(), errorInfo(result.error().kind).name);
                respondError(*exchange, result.error());
                return;
            }
            m_metrics.add("flamingo_tickets_accepted_total");
            logChange("ticket-accepted", "ticket={}", number.value());
            exchange->respond(200, JsonContentType, dumpJson({{"ticket", number}, {"accepted", true}}));
        });
    });
}

void OperatorApi::showConfiguration(const HttpExchangePtr &exchange)
{
    m_postToCore([this, exchange] {
        nlohmann::json objects = nlohmann::json::array();
        for (const auto &[key, object] : m_core.configuration().objects()) {
            objects.push_back(object);
        }
        exchange->respond(200, JsonContentType, dumpJson({{"objects", objects}}));
    });
}

void OperatorApi::showStatus(const HttpExchangePtr &exchange)
{
    m_postToCore(
        [this, exchange] { m_core.collectStatus([exchange](const nlohmann::json &report) { exchange->respond(200, JsonContentType, dumpJson(report)); }); });
}

void OperatorApi::drain(const HttpExchangePtr &exchange, const std::string &instance)
{
    m_postToCore([this, exchange, instance] {
        const auto result = m_core.drainInstance(InstanceId(instance));
        if (result) {
            exchange->respond(202, JsonContentType, dumpJson({{"instance", instance}, {"draining", true}}));
        } else {
            respondError(*exchange, result.error());
        }
    });
}

void OperatorApi::explain(const HttpExchangePtr &exchange, const std::string &program)
{
    m_postToCore([this, exchange, program] {
        m_core.explainProgram(ProgramId(program), [exchange](const Result<nlohmann::json> &report) {
            if (report) {
                exchange->respond(200, JsonContentType, dumpJson(*report));
            } else {
                respondError(*exchange, report.error());
            }
        });
    });
}

} // namespace flamingo
