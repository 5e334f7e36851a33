#include "soak/callerrecord.h"

#include <fmt/format.h>

#include <algorithm>

namespace flamingo
{

namespace
{
constexpr int StatusOk = 200;

/// Whether a status promises that the request has not run and never will.
bool isPromiseNotRun(int status)
{
    return status == 402 || status == 404 || status == 408 || status == 421 || status == 429 || status == 503;
}

std::string lineOf(const SentRequest &sent, const std::string &what)
{
    return fmt::format("attempt {} after \"{}\" by instance {}, status {}: {}", sent.attempt, sent.previous, sent.instance + 1, sent.status, what);
}
} // namespace

std::string CallerRecord::answerTo(const std::string &attempt)
{
    return "done " + attempt;
}

void CallerRecord::add(SentRequest sent)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_sent[sent.attempt] = std::move(sent);
}

bool CallerRecord::isServed(const SentRequest &sent) const
{
    return sent.status == StatusOk && sent.isWhole;
}

std::pair<std::size_t, std::size_t> CallerRecord::served() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto n = std::count_if(m_sent.begin(), m_sent.end(), [this](const auto &it) { return isServed(it.second); });
    return {static_cast<std::size_t>(n), m_sent.size()};
}

std::optional<std::string> CallerRecord::expectedPrompt(const SentRequest &sent) const
{
    if (sent.kind != SentRequest::Kind::Chat || sent.previous.empty()) {
        return sent.input;
    }
    const auto it = m_sent.find(sent.previous);
    const auto before = it == m_sent.end() ? std::nullopt : expectedPrompt(it->second);
    return before ? std::optional<std::string>(*before + answerTo(sent.previous) + '\n' + sent.input) : std::nullopt;
}

std::vector<std::string> CallerRecord::brokenPromises(const std::vector<ReceivedRequest> &received) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<std::string> broken;
    std::map<std::string, std::vector<const ReceivedRequest *>> runs;
    for (const ReceivedRequest &request : received) {
        const std::string attempt = request.head.fields.value("X-Attempt-Id");
        runs[attempt].push_back(&request);
        if (m_sent.count(attempt) == 0) {
            broken.push_back("an endpoint ran what no caller sent: " + attempt);
        }
    }
    for (const auto &[attempt, sent] : m_sent) {
        checkRuns(sent, runs[attempt], broken);
        checkAnswer(sent, broken);
    }
    checkBudgets(broken);
    return broken;
}

void CallerRecord::checkRuns(const SentRequest &sent, const std::vector<const ReceivedRequest *> &runs, std::vector<std::string> &broken) const
{
    const bool mayRepeat = sent.kind == SentRequest::Kind::Turn;
    if (!mayRepeat && runs.size() > 1) {
        broken.push_back(lineOf(sent, fmt::format("ran {} times", runs.size())));
    }
    if (!mayRepeat && isPromiseNotRun(sent.status) && !runs.empty()) {
        broken.push_back(lineOf(sent, "was said not to have run"));
    }
    const auto prompt = expectedPrompt(sent);
    for (const ReceivedRequest *run : runs) {
        if (!prompt || run->body != *prompt) {
            broken.push_back(lineOf(sent, fmt::format("the endpoint got \"{}\" instead of \"{}\"", run->body, prompt.value_or("nothing"))));
        }
    }
}

void CallerRecord::checkAnswer(const SentRequest &sent, std::vector<std::string> &broken) const
{
    const std::string answer = answerTo(sent.attempt);
    const std::string expected = sent.kind == SentRequest::Kind::Booking ? answer : ScriptedEndpoint::event(1, answer);
    if (isServed(sent) && sent.body != expected) {
        broken.push_back(lineOf(sent, fmt::format("the caller got \"{}\"", sent.body)));
    }
    // Callers continue only from turns that were answered whole.
    if (sent.kind == SentRequest::Kind::Chat && sent.status == 404) {
        broken.push_back(lineOf(sent, "the turn before was lost"));
    }
}

void CallerRecord::checkBudgets(std::vector<std::string> &broken) const
{
    std::map<std::string, int> tokens;
    for (const auto &[attempt, sent] : m_sent) {
        const bool hasTokens = sent.kind == SentRequest::Kind::Turn && sent.body.find("data:") != std::string::npos;
        tokens[sent.program] += hasTokens ? TokensOfTurn : 0;
    }
    for (const auto &[program, n] : tokens) {
        if (n > Budget + MostOfTurn) {
            broken.push_back(fmt::format("program {} got {} tokens of {}", program, n, Budget));
        }
    }
}

} // namespace flamingo
