#include "control/operatorapi.h"

#include "core/codec.h"
#include "core/log.h"
#include "core/sha256.h"
#include "http/errorbody.h"

namespace flamingo
{

namespace
{
constexpr const char *Json = "application/json";

/// The rest of a path after a prefix; empty when the path doesn't begin with it.
std::string restOf(const std::string &path, const std::string &prefix)
{
    return path.compare(0, prefix.size(), prefix) == 0 ? path.substr(prefix.size()) : std::string();
}
} // namespace

OperatorApi::OperatorApi(ControlCore &core, Metrics &metrics, std::string token, Decide decide)
    : m_core(core)
    , m_metrics(metrics)
    , m_token(std::move(token))
    , m_decide(std::move(decide))
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
    const std::string drained = restOf(path, "/v1/drain/instances/");
    const std::string program = restOf(path, "/v1/programs/");
    if (method == "POST" && path == "/v1/tickets") {
        applyTicket(exchange);
    } else if (method == "GET" && path == "/v1/configuration") {
        showConfiguration(exchange);
    } else if (method == "GET" && path == "/v1/status") {
        showStatus(exchange);
    } else if (method == "POST" && !drained.empty()) {
        drain(exchange, drained);
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
    m_decide([this, exchange, ticket = std::move(*ticket)]() mutable {
        const TicketNumber number = ticket.number;
        m_core.submitTicket(std::move(ticket), [this, exchange, number](const Result<void> &result) {
            if (!result) {
                m_metrics.addRefusal(result.error().kind);
                logChange("ticket-refused", "ticket={} kind={}", number.value(), errorInfo(result.error().kind).name);
                respondError(*exchange, result.error());
                return;
            }
            m_metrics.add("flamingo_tickets_accepted_total");
            logChange("ticket-accepted", "ticket={}", number.value());
            exchange->respond(200, Json, dumpJson({{"ticket", number}, {"accepted", true}}));
        });
    });
}

void OperatorApi::showConfiguration(const HttpExchangePtr &exchange)
{
    m_decide([this, exchange] {
        nlohmann::json objects = nlohmann::json::array();
        for (const auto &[key, object] : m_core.configuration().objects()) {
            objects.push_back(object);
        }
        exchange->respond(200, Json, dumpJson({{"objects", objects}}));
    });
}

void OperatorApi::showStatus(const HttpExchangePtr &exchange)
{
    m_decide([this, exchange] { m_core.collectStatus([exchange](const nlohmann::json &report) { exchange->respond(200, Json, dumpJson(report)); }); });
}

void OperatorApi::drain(const HttpExchangePtr &exchange, const std::string &instance)
{
    m_decide([this, exchange, instance] {
        const auto drained = m_core.drainInstance(InstanceId(instance));
        if (drained) {
            exchange->respond(202, Json, dumpJson({{"instance", instance}, {"draining", true}}));
        } else {
            respondError(*exchange, drained.error());
        }
    });
}

void OperatorApi::explain(const HttpExchangePtr &exchange, const std::string &program)
{
    m_decide([this, exchange, program] {
        m_core.explainProgram(ProgramId(program), [exchange](const Result<nlohmann::json> &report) {
            if (report) {
                exchange->respond(200, Json, dumpJson(*report));
            } else {
                respondError(*exchange, report.error());
            }
        });
    });
}

} // namespace flamingo
