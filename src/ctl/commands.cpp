#include "ctl/commands.h"

#include "core/codec.h"
#include "core/error.h"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace flamingo
{

namespace
{
constexpr int ExitOk = 0;
constexpr int ExitNoResponse = 1;
constexpr int ExitUsage = 2;
constexpr int ExitUnknownError = 3;
constexpr int FirstErrorStatus = 400;

int printResponse(const HttpResult &outcome)
{
    if (!outcome) {
        fmt::print(stderr, "flamingoctl: no response: {}\n", outcome.error().detail);
        return ExitNoResponse;
    }
    const auto json = parseJson(outcome->body);
    const std::string text = json ? json->dump(2) : outcome->body;
    if (outcome->status < FirstErrorStatus) {
        fmt::print("{}\n", text);
        return ExitOk;
    }
    fmt::print(stderr, "{}\n", text);
    const bool hasKind = json && json->contains("error") && (*json)["error"].contains("kind");
    const auto kind = hasKind ? errorKindFromName((*json)["error"]["kind"].get<std::string>()) : std::nullopt;
    return kind ? errorInfo(*kind).exitCode : ExitUnknownError;
}
} // namespace

Commands::Commands(std::string address, std::string token)
    : m_address(std::move(address))
    , m_token(std::move(token))
{
}

std::string Commands::help()
{
    return "Commands:\n"
           "  apply FILE                   apply a change ticket (- for standard input)\n"
           "  configuration                show the configuration in force at the control daemon\n"
           "  status                       show members, shards and configuration of every instance\n"
           "  drain-instance ID            drain an instance for a planned stop\n"
           "  drain-endpoint ID TICKET     apply a ticket that marks an endpoint as leaving\n"
           "  explain PROGRAM              show the decisions about a program and their reasons\n"
           "  counters                     print the control daemon's metrics\n"
           "Exit codes: 0 success, 1 no response, 2 invalid command line, 3 unknown error, 10 and above: the error's code\n"
           "(docs/errors.md).\n";
}

HttpResult Commands::sendRequest(const std::string &method, const std::string &path, const std::string &body)
{
    HttpRequest request;
    request.method = method;
    request.url = fmt::format("http://{}{}", m_address, path);
    request.headers = {"Content-Type: application/json", "Authorization: Bearer " + m_token};
    request.body = body;
    request.totalTimeout = Milliseconds(15000);
    return m_client.sendAndWait(std::move(request));
}

int Commands::sendAndPrint(const std::string &method, const std::string &path, const std::string &body)
{
    return printResponse(sendRequest(method, path, body));
}

int Commands::apply(const std::string &file)
{
    std::ostringstream content;
    if (file == "-") {
        content << std::cin.rdbuf();
    } else {
        std::ifstream stream(file);
        if (!stream) {
            fmt::print(stderr, "flamingoctl: cannot read {}\n", file);
            return ExitUsage;
        }
        content << stream.rdbuf();
    }
    return sendAndPrint("POST", "/v1/tickets", content.str());
}

// A ticket contains the complete new spec of an object, so the endpoint's current spec is read first.
int Commands::drainEndpoint(const std::string &endpoint, const std::string &ticket)
{
    const auto outcome = sendRequest("GET", "/v1/configuration");
    const auto json = outcome && outcome->status < FirstErrorStatus ? parseJson(outcome->body) : std::nullopt;
    if (!json) {
        return printResponse(outcome);
    }
    for (const auto &object : (*json)["objects"]) {
        if (object["kind"] == "endpoint" && object["id"] == endpoint && !object["spec"].is_null()) {
            auto spec = object["spec"];
            spec["leaving"] = true;
            const nlohmann::json changed = {{"kind", "endpoint"}, {"id", endpoint}, {"spec", spec}};
            const nlohmann::json body = {{"ticket", std::strtoull(ticket.c_str(), nullptr, 10)}, {"objects", {changed}}};
            return sendAndPrint("POST", "/v1/tickets", dumpJson(body));
        }
    }
    fmt::print(stderr, "flamingoctl: unknown endpoint {}\n", endpoint);
    return errorInfo(ErrorKind::NotFound).exitCode;
}

int Commands::run(const std::vector<std::string> &arguments)
{
    const std::string command = arguments.empty() ? "" : arguments[0];
    if (command == "apply" && arguments.size() == 2) {
        return apply(arguments[1]);
    }
    if (command == "configuration" && arguments.size() == 1) {
        return sendAndPrint("GET", "/v1/configuration");
    }
    if (command == "status" && arguments.size() == 1) {
        return sendAndPrint("GET", "/v1/status");
    }
    if (command == "drain-instance" && arguments.size() == 2) {
        return sendAndPrint("POST", "/v1/drain/instances/" + arguments[1]);
    }
    if (command == "drain-endpoint" && arguments.size() == 3) {
        return drainEndpoint(arguments[1], arguments[2]);
    }
    if (command == "explain" && arguments.size() == 2) {
        return sendAndPrint("GET", "/v1/programs/" + arguments[1]);
    }
    if (command == "counters" && arguments.size() == 1) {
        return sendAndPrint("GET", "/metrics");
    }
    fmt::print(stderr, "flamingoctl: unknown command or wrong number of arguments\n{}", help());
    return ExitUsage;
}

} // namespace flamingo
