#pragma once

#include "core/metrics.h"
#include "entry/answersink.h"
#include "entry/entrycore.h"
#include "http/httpserver.h"

#include <functional>
#include <string>

namespace flamingo
{

/// The callers' HTTP interface: programs and their calls, and the chat-completions interface (see docs/callers.md). All
/// methods run on the core's thread.
class CallerApi
{
public:
    CallerApi(EntryCore &core, Metrics &metrics, Milliseconds defaultDeadline);

    void setTime(Instant now);
    void handle(const HttpExchangePtr &exchange);

private:
    struct Caller {
        CallerId id;
        std::string key;
    };

    Result<void> route(const HttpExchangePtr &exchange);
    Result<void> startProgram(const HttpExchangePtr &exchange, const Caller &caller);
    Result<void> endProgram(const HttpExchangePtr &exchange, const Caller &caller, const ProgramId &program);
    Result<void> submitCall(const HttpExchangePtr &exchange, const Caller &caller, const ProgramId &program, CallNumber number);
    Result<void> fetchAnswer(const HttpExchangePtr &exchange, const Caller &caller, const ProgramId &program, CallNumber number);
    Result<void> handleChatCompletion(const HttpExchangePtr &exchange, const Caller &caller);
    Result<StartProgram> parseStartProgram(const HttpExchange &exchange, const Caller &caller);
    Result<SubmitCall> parseCall(const nlohmann::json &body, const Caller &caller) const;

    /// Submits a call whose answer goes to the sink.
    Result<void> sendCall(const HttpExchange &exchange, SubmitCall call, const AnswerSinkPtr &sink, std::function<void()> onDone = {});
    EntryCore::Request makeRequest(const HttpExchange &exchange, PeerMessage message, const ProgramId &program, std::int64_t deadlineMs) const;
    void endOneShotProgram(const CallerId &caller, const ProgramId &program);
    void refuse(HttpExchange &exchange, const Error &error);

    EntryCore &m_core;
    Metrics &m_metrics;
    const Milliseconds m_defaultDeadline;
    Instant m_now;
};

} // namespace flamingo
