#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "programs/records.h"

#include <string>

namespace flamingo
{

/// An attempt to run a call at an endpoint.
struct EndpointRequest {
    AttemptId attempt;
    EndpointId endpoint;
    std::string address;
    bool isModel = true;
    ProgramId program;
    CallNumber number;
    FencingNumber fence;
    PriorityClass priority = PriorityClass::Normal;
    std::string operation; ///< Operation of a plain service.
    std::string body; ///< JSON: the messages of a model call, the body of a service call.
    Tokens maxTokens;
    std::string resumeText; ///< Text that an earlier attempt has already generated.
    Milliseconds timeout{60000};
};

/// Result of an attempt.
struct EndpointResult {
    enum class Status {
        Answered, ///< The complete answer arrived.
        Rejected, ///< The endpoint ran the request and answered with an error.
        Refused, ///< The endpoint reports that it has not run the request.
        Leaving, ///< Refused because the endpoint is leaving.
        NotSent, ///< It is certain that no byte of the request was sent.
        OutcomeUnknown, ///< No complete answer arrived; the request may have run.
        Cancelled,
    };

    AttemptId attempt;
    EndpointId endpoint;
    Status status = Status::OutcomeUnknown;
    std::string text;
    std::string detail;
    Tokens promptTokens;
    Tokens completionTokens;
    Tokens cachedTokens; ///< Prompt tokens found in the engine's prefix cache.
};

} // namespace flamingo
