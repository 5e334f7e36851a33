#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "programs/records.h"

#include <string>

namespace flamingo
{

/// One sending of a call to an endpoint.
struct EndpointRequest {
    AttemptId attempt;
    EndpointId endpoint;
    std::string address;
    bool isModel = true;
    ProgramId program;
    CallNumber number;
    FencingNumber fence;
    PriorityClass priority = PriorityClass::Normal;
    std::string operation; ///< Of a plain service.
    std::string body; ///< JSON: the messages of a model call, the body of a service call.
    Tokens maxTokens;
    std::string resumeText; ///< What an earlier attempt has already generated.
    Milliseconds timeout{60000};
};

/// How a sending ended.
struct EndpointResult {
    enum class Status {
        Answered, ///< The whole answer came.
        Rejected, ///< The endpoint ran the request and found it wrong.
        Refused, ///< The endpoint says that it has not run the request.
        Leaving, ///< Refused because the endpoint is leaving.
        NotSent, ///< Provably no byte of the request left.
        OutcomeUnknown, ///< No whole answer; the request may have run.
        Cancelled,
    };

    AttemptId attempt;
    EndpointId endpoint;
    Status status = Status::OutcomeUnknown;
    std::string text;
    std::string detail;
    Tokens promptTokens;
    Tokens completionTokens;
    Tokens cachedTokens; ///< Of the prompt, found in the engine's prefix cache.
};

} // namespace flamingo
