#pragma once

#include "core/codec.h"
#include "http/httpclient.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace flamingo
{

/// How one request of a caller went.
struct CallResult {
    int status = 0; ///< HTTP status; 0 when no whole answer came.
    nlohmann::json body;
    std::string errorKind; ///< Empty when there is no error.
    std::string runState;

    bool isOk() const;
};

/// A caller that behaves as the callers' page asks: it repeats what has no answer, under the same number, and checks
/// each answer against what the stand-in engine must say to exactly this program's history.
class ProgramClient
{
public:
    /// Entries are ports on loopback; a try that gets no answer goes to the next one.
    ProgramClient(HttpClient &client, std::vector<std::uint16_t> entryPorts, std::string key);

    /// Starts a program. Returns whether there is one.
    bool start(const std::string &agent, const std::string &parent = {});

    /// Sends the next model call until it has an answer or the deadline is over.
    CallResult callModel(const std::string &text, std::int64_t maxTokens, Milliseconds deadline = Milliseconds(30000));

    /// Sends the next call to a plain service.
    CallResult callService(const std::string &operation, const std::string &what, Milliseconds deadline = Milliseconds(30000));

    CallResult end();

    /// One request without a repeat.
    CallResult send(const std::string &method, const std::string &path, const nlohmann::json &body, Milliseconds timeout, bool isFirstAttempt);

    const std::string &programId() const;
    std::uint32_t nextCallNumber() const;
    void setNextCallNumber(std::uint32_t number);

    /// Answers that weren't the ones that belong to this program's history.
    int wrongAnswers() const;

    /// Keys of the effects that this program asked for, with whether each was answered as done.
    struct ServiceCall {
        std::string idempotencyKey;
        CallResult result;
    };
    const std::vector<ServiceCall> &serviceCalls() const;

private:
    CallResult sendCall(const nlohmann::json &body, Milliseconds deadline);
    void checkAnswerText(const CallResult &result, std::int64_t maxTokens);

    HttpClient &m_client;
    std::vector<std::uint16_t> m_entryPorts;
    std::size_t m_entryIndex = 0;
    std::string m_key;
    std::string m_programId;
    std::string m_prompt;
    std::uint32_t m_nextCallNumber = 1;
    int m_wrongAnswers = 0;
    std::vector<ServiceCall> m_serviceCalls;
};

} // namespace flamingo
