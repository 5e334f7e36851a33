#include "soak/callerrecord.h"

#include <fmt/format.h>

#include <algorithm>

namespace flamingo
{

namespace
{
constexpr int StatusOk = 200;

/// Whether a status guarantees that the request has not run and will not run.
bool isNotRunStatus(int status)
{
    return status == 401 || status == 402 || status == 404 || status == 408 || status == 421 || status == 429 || status == 503;
}

std::string describeViolation(const SentRequest &request, const std::string &violation)
{
    return fmt::format(
        "attempt {} after \"{}\" by instance {}, status {}: {}", request.attemptId, request.previousAttemptId, request.instance + 1, request.status, violation);
}
} // namespace

std::string CallerRecord::responseText(const std::string &attemptId)
{
    return "done " + attemptId;
}

void CallerRecord::add(SentRequest request)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_requests[request.attemptId] = std::move(request);
}

void CallerRecord::addKeyRemoval(int keyNumber, Instant at)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_keyRemovals.emplace(keyNumber, at);
}

bool CallerRecord::isKeyRemoved(const SentRequest &request) const
{
    const auto it = request.keyNumber ? m_keyRemovals.find(*request.keyNumber) : m_keyRemovals.end();
    return it != m_keyRemovals.end() && request.sentAt > it->second + KeyRemovalBound;
}

std::size_t CallerRecord::countWithRemovedKey() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return static_cast<std::size_t>(std::count_if(m_requests.begin(), m_requests.end(), [this](const auto &it) { return isKeyRemoved(it.second); }));
}

bool CallerRecord::isCompleted(const SentRequest &request) const
{
    return request.status == StatusOk && request.isComplete;
}

std::pair<std::size_t, std::size_t> CallerRecord::completedAndTotal() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto n = std::count_if(m_requests.begin(), m_requests.end(), [this](const auto &it) { return isCompleted(it.second); });
    return {static_cast<std::size_t>(n), m_requests.size()};
}

std::optional<std::string> CallerRecord::expectedBody(const SentRequest &request) const
{
    if (request.kind != SentRequest::Kind::StatefulTurn || request.previousAttemptId.empty()) {
        return request.input;
    }
    const auto it = m_requests.find(request.previousAttemptId);
    const auto previousBody = it == m_requests.end() ? std::nullopt : expectedBody(it->second);
    return previousBody ? std::optional<std::string>(*previousBody + responseText(request.previousAttemptId) + '\n' + request.input) : std::nullopt;
}

std::vector<std::string> CallerRecord::findViolations(const std::vector<ReceivedRequest> &received) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<std::string> violations;
    std::map<std::string, std::vector<const ReceivedRequest *>> executionsByAttempt;
    for (const ReceivedRequest &execution : received) {
        const std::string attemptId = execution.head.fields.value("X-Attempt-Id");
        executionsByAttempt[attemptId].push_back(&execution);
        if (m_requests.count(attemptId) == 0) {
            violations.push_back("an endpoint ran what no caller sent: " + attemptId);
        }
    }
    for (const auto &[attemptId, request] : m_requests) {
        checkExecutions(request, executionsByAttempt[attemptId], violations);
        checkWorkspace(request, executionsByAttempt[attemptId], violations);
        checkResponse(request, violations);
    }
    checkBudgets(violations);
    return violations;
}

void CallerRecord::checkExecutions(const SentRequest &request,
                                   const std::vector<const ReceivedRequest *> &executions,
                                   std::vector<std::string> &violations) const
{
    const bool isRepeatable = request.kind == SentRequest::Kind::ResumableStream;
    if (!isRepeatable && executions.size() > 1) {
        violations.push_back(describeViolation(request, fmt::format("ran {} times", executions.size())));
    }
    if (!isRepeatable && isNotRunStatus(request.status) && !executions.empty()) {
        violations.push_back(describeViolation(request, "was said not to have run"));
    }
    const auto body = expectedBody(request);
    for (const ReceivedRequest *execution : executions) {
        if (!body || execution->body != *body) {
            violations.push_back(
                describeViolation(request, fmt::format("the endpoint got \"{}\" instead of \"{}\"", execution->body, body.value_or("nothing"))));
        }
    }
}

void CallerRecord::checkWorkspace(const SentRequest &request,
                                  const std::vector<const ReceivedRequest *> &executions,
                                  std::vector<std::string> &violations) const
{
    for (const ReceivedRequest *execution : executions) {
        const std::string workspace = execution->head.fields.value("X-Tenant");
        if (workspace != request.workspace || execution->head.fields.find("Authorization")) {
            violations.push_back(describeViolation(request, fmt::format("the endpoint got the workspace \"{}\", or the key", workspace)));
        }
    }
    if (!executions.empty() && isKeyRemoved(request)) {
        violations.push_back(describeViolation(request, "ran with a key that had been removed"));
    }
}

void CallerRecord::checkResponse(const SentRequest &request, std::vector<std::string> &violations) const
{
    const std::string text = responseText(request.attemptId);
    const std::string expected = request.kind == SentRequest::Kind::NonRepeatable ? text : ScriptedEndpoint::event(1, text);
    if (isCompleted(request) && request.body != expected) {
        violations.push_back(describeViolation(request, fmt::format("the caller got \"{}\"", request.body)));
    }
    // Callers continue only from turns whose response was complete, so the system must know the previous turn.
    if (request.kind == SentRequest::Kind::StatefulTurn && request.status == 404) {
        violations.push_back(describeViolation(request, "the turn before was lost"));
    }
}

void CallerRecord::checkBudgets(std::vector<std::string> &violations) const
{
    std::map<std::string, int> tokensByProgram;
    for (const auto &[attemptId, request] : m_requests) {
        const bool hasReceivedTokens = request.kind == SentRequest::Kind::ResumableStream && request.body.find("data:") != std::string::npos;
        tokensByProgram[request.workspace + '/' + request.programId] += hasReceivedTokens ? TokensPerStream : 0;
    }
    for (const auto &[programId, n] : tokensByProgram) {
        if (n > TokenBudget + MaxTokensPerStream) {
            violations.push_back(fmt::format("program {} got {} tokens of {}", programId, n, TokenBudget));
        }
    }
}

} // namespace flamingo
