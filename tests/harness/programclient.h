#pragma once

#include "core/codec.h"
#include "http/httpclient.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace flamingo
{

/// The result of one request.
struct CallResult {
    int status = 0; ///< HTTP status; 0 when no complete response arrived.
    nlohmann::json body;
    std::string errorKind; ///< Empty when the body holds no error.
    std::string runState; ///< Whether the call has run, from the error, such as "not-run" or "may-have-run".

    bool isOk() const;
};

/// A client of one program that follows the documented retry rules: it retries a call that has no final result under the
/// same call number. It checks each answer of a model against the text that the engine stand-in generates for exactly this
/// program's history.
class ProgramClient
{
public:
    /// The ports of the entries are on loopback. An attempt without a response makes the client switch to the next port.
    /// `key` is the caller's API key.
    ProgramClient(HttpClient &client, std::vector<std::uint16_t> entryPorts, std::string key);

    /// Starts a program; retries until it is accepted, refused for good, or the attempts are used up. Returns whether it was
    /// accepted.
    bool start(const std::string &agent, const std::string &parent = {});

    /// Sends the next model call; retries until the result is final or the deadline has passed.
    CallResult callModel(const std::string &text, std::int64_t maxTokens, Milliseconds deadline = Milliseconds(30000));

    /// Sends the next call of a service's operation; retries like callModel().
    CallResult callService(const std::string &operation, const std::string &what, Milliseconds deadline = Milliseconds(30000));

    /// Ends the program; doesn't retry.
    CallResult end();

    /// Sends one request without retries. `isFirstAttempt` tells the entry that the request was not sent before, so that a
    /// failure may be reported as "not-run".
    CallResult send(const std::string &method, const std::string &path, const nlohmann::json &body, Milliseconds timeout, bool isFirstAttempt);

    const std::string &programId() const;
    std::uint32_t nextCallNumber() const;
    void setNextCallNumber(std::uint32_t number);

    /// The number of answers whose text or program didn't match the expected one.
    int wrongAnswers() const;

    /// A call to a service, with the idempotency key that the service receives.
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
