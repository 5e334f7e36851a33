#include "harness/programclient.h"

#include "standins/enginemodel.h"

#include <fmt/format.h>

#include <algorithm>
#include <thread>

namespace flamingo
{

namespace
{
constexpr Milliseconds RetryDelay{100};
/// How long a request's timeout exceeds its deadline, so that a response sent at the deadline still arrives.
constexpr Milliseconds ResponseGracePeriod{3000};
constexpr int MaxStartAttempts = 40;
constexpr int FirstErrorStatus = 400;
const char *const SystemPrompt = "You help crews and birders.";

bool isRetryable(const CallResult &result)
{
    static const std::vector<std::string> final = {"outcome-unknown",
                                                   "call-conflict",
                                                   "budget-exhausted",
                                                   "unknown-program",
                                                   "call-out-of-order",
                                                   "program-ended",
                                                   "turn-limit-reached",
                                                   "endpoint-rejected",
                                                   "unknown-pool",
                                                   "malformed-request",
                                                   "program-time-limit",
                                                   "unknown-agent",
                                                   "unauthenticated"};
    return !result.isOk() && std::find(final.begin(), final.end(), result.errorKind) == final.end();
}
} // namespace

bool CallResult::isOk() const
{
    return status > 0 && status < FirstErrorStatus && errorKind.empty();
}

ProgramClient::ProgramClient(HttpClient &client, std::vector<std::uint16_t> entryPorts, std::string key)
    : m_client(client)
    , m_entryPorts(std::move(entryPorts))
    , m_key(std::move(key))
{
}

CallResult ProgramClient::send(const std::string &method, const std::string &path, const nlohmann::json &body, Milliseconds timeout, bool isFirstAttempt)
{
    HttpRequest request;
    request.method = method;
    request.url = fmt::format("http://127.0.0.1:{}{}", m_entryPorts[m_entryIndex], path);
    request.headers = {"Authorization: Bearer " + m_key, "Content-Type: application/json"};
    if (isFirstAttempt) {
        request.headers.emplace_back("Flamingo-Attempt: 1");
    }
    request.body = body.is_null() ? "" : dumpJson(body);
    request.totalTimeout = timeout;
    const auto outcome = m_client.sendAndWait(std::move(request));
    CallResult result;
    if (!outcome) {
        m_entryIndex = (m_entryIndex + 1) % m_entryPorts.size();
        return result;
    }
    result.status = outcome->status;
    result.body = parseJson(outcome->body).value_or(nullptr);
    if (result.body.is_object() && result.body.contains("error")) {
        result.errorKind = result.body["error"].value("kind", "");
        result.runState = result.body["error"].value("run_state", "");
        if (result.errorKind == "shutting-down") {
            m_entryIndex = (m_entryIndex + 1) % m_entryPorts.size();
        }
    }
    return result;
}

bool ProgramClient::start(const std::string &agent, const std::string &parent)
{
    nlohmann::json body = {{"agent", agent}};
    if (!parent.empty()) {
        body["parent"] = parent;
        body["budget_tokens"] = 20000;
    }
    for (int n = 0; n < MaxStartAttempts; ++n) {
        const auto result = send("POST", "/v1/programs", body, Milliseconds(5000), n == 0);
        if (result.isOk()) {
            m_programId = result.body.value("program", "");
            m_prompt = fmt::format("system: {}\n", SystemPrompt);
            return true;
        }
        if (!isRetryable(result)) {
            return false;
        }
        std::this_thread::sleep_for(RetryDelay);
    }
    return false;
}

CallResult ProgramClient::sendCall(const nlohmann::json &body, Milliseconds deadline)
{
    const std::string path = fmt::format("/v1/programs/{}/calls/{}", m_programId, m_nextCallNumber);
    const auto end = std::chrono::steady_clock::now() + deadline;
    bool isFirstAttempt = true;
    while (true) {
        const auto remaining = std::chrono::duration_cast<Milliseconds>(end - std::chrono::steady_clock::now());
        auto result = send("POST", path, body, std::max(remaining, Milliseconds(0)) + ResponseGracePeriod, isFirstAttempt);
        isFirstAttempt = false;
        if (!isRetryable(result) || std::chrono::steady_clock::now() + RetryDelay > end) {
            return result;
        }
        std::this_thread::sleep_for(RetryDelay);
    }
}

void ProgramClient::checkAnswerText(const CallResult &result, std::int64_t maxTokens)
{
    std::string expected;
    for (const std::string &word : EngineModel::answerWords(m_prompt, maxTokens)) {
        expected += word;
    }
    if (result.body.value("text", "") != expected || result.body.value("program", "") != m_programId) {
        ++m_wrongAnswers;
    }
}

CallResult ProgramClient::callModel(const std::string &text, std::int64_t maxTokens, Milliseconds deadline)
{
    const nlohmann::json messages = {{{"role", "user"}, {"content", text}}};
    const auto result = sendCall({{"messages", messages}, {"max_tokens", maxTokens}, {"deadline_ms", deadline.count()}}, deadline);
    if (result.isOk()) {
        m_prompt += "user: " + text + "\n";
        checkAnswerText(result, maxTokens);
        m_prompt += "assistant: " + result.body.value("text", "") + "\n";
        ++m_nextCallNumber;
    }
    return result;
}

CallResult ProgramClient::callService(const std::string &operation, const std::string &what, Milliseconds deadline)
{
    const nlohmann::json body = {{"service", "dispatch"}, {"operation", operation}, {"body", {{"what", what}}}, {"deadline_ms", deadline.count()}};
    const std::string key = fmt::format("{}/{}", m_programId, m_nextCallNumber);
    const auto result = sendCall(body, deadline);
    m_serviceCalls.push_back({key, result});
    if (result.isOk()) {
        m_prompt += "tool: " + result.body.value("text", "") + "\n";
    }
    if (result.isOk() || result.errorKind == "outcome-unknown") {
        ++m_nextCallNumber;
    }
    return result;
}

CallResult ProgramClient::end()
{
    return send("DELETE", "/v1/programs/" + m_programId, nullptr, Milliseconds(5000), true);
}

const std::string &ProgramClient::programId() const
{
    return m_programId;
}

std::uint32_t ProgramClient::nextCallNumber() const
{
    return m_nextCallNumber;
}

void ProgramClient::setNextCallNumber(std::uint32_t number)
{
    m_nextCallNumber = number;
}

int ProgramClient::wrongAnswers() const
{
    return m_wrongAnswers;
}

const std::vector<ProgramClient::ServiceCall> &ProgramClient::serviceCalls() const
{
    return m_serviceCalls;
}

} // namespace flamingo
