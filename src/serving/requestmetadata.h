#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "policy/endpointstate.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// One attempt of a caller at a request; each has an id of its own, under which its turn is kept.
using RequestId = StrongId<struct RequestTag, std::string>;

/// A line of turns inside a program.
using SessionId = StrongId<struct SessionTag, std::string>;

/// A part of a prompt that other requests may share.
struct PromptPart {
    std::string id;
    Tokens tokens;
};

/// What a caller's request says about itself, decoded once.
struct RequestMetadata {
    RequestId id;
    std::string host;
    std::string path; ///< Without the query.
    std::optional<Milliseconds> timeLeft; ///< What the caller will wait.
    std::optional<ProgramId> program;
    std::optional<SessionId> session;
    std::optional<Milliseconds> programTimeLeft; ///< Until the program should be finished.
    std::optional<Tokens> tokenBudget; ///< What all turns of the program may generate.
    std::optional<Tokens> promptTokens;
    std::optional<Tokens> maxOutputTokens; ///< The most that this turn generates.
    std::vector<PromptPart> promptParts; ///< In the prompt's order; the last is the request's or session's own.
    std::optional<std::string> lastEventId; ///< The last event that the caller has, when it resumes a stream.
    std::optional<RequestId> previousTurn;

    /// Tokens of the prompt that only this request or its session has; parts that many share are cached nearly everywhere.
    Tokens unsharedTokens() const
    {
        Tokens tokens = promptTokens.value_or(Tokens(0));
        if (promptParts.size() > 1) {
            tokens = tokens - std::min(tokens, promptParts.front().tokens);
        }
        return tokens;
    }

    std::string affinityKey; ///< The object that the request is about; empty when it says none.
};

/// What an endpoint's answer says about itself.
struct ResponseMetadata {
    bool hasSignature = false; ///< It carries the endpoint's signature.
    bool isNotExecuted = false; ///< The endpoint has not run the request and never will.
    bool isFromOtherEndpoint = false; ///< Another endpoint has the address now.
    bool isContentEncoded = false; ///< The body isn't as the endpoint made it.
    std::optional<EndpointLoad> load;
};

} // namespace flamingo
