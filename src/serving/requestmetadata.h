#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "policy/endpointstate.h"
#include "serving/workspace.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// Identifies one attempt of a caller at a request; the attempt's turn is stored under this id.
using RequestId = StrongId<struct RequestTag, std::string>;

/// Identifies a sequence of turns inside a program, each of which continues from the one before.
using SessionId = StrongId<struct SessionTag, std::string>;

/// A segment of a prompt that other requests may share.
struct PromptPart {
    std::string id;
    Tokens tokens;
};

/// What the path and headers of a caller's request say, decoded once.
struct RequestMetadata {
    RequestId id;
    std::string host;
    std::string path; ///< Without the query.
    std::optional<Milliseconds> timeLeft; ///< For how long the caller will wait.
    std::optional<ProgramId> program;
    std::optional<SessionId> session;
    std::optional<Milliseconds> programTimeLeft; ///< Until the program's deadline.
    std::optional<Tokens> tokenBudget; ///< Total that all turns of the program may generate.
    std::optional<Tokens> promptTokens;
    bool hasUnreadableBudget = false; ///< The request has a budget, and one of the numbers that it depends on can't be read.
    std::optional<Tokens> maxOutputTokens; ///< The most that this turn can generate.
    std::vector<PromptPart> promptParts; ///< In the prompt's order; the last one belongs to this request or session alone.
    std::optional<std::string> lastEventId; ///< The last event that the caller received, when it resumes a stream.
    std::optional<RequestId> resumedAttempt; ///< The attempt that brought the first event of the stream that is resumed.
    std::optional<RequestId> previousTurn;

    /// Prompt tokens that only this request or its session has. The first of several segments is left out: it is shared by
    /// many requests and cached at nearly every endpoint.
    Tokens unsharedTokens() const
    {
        Tokens tokens = promptTokens.value_or(Tokens(0));
        if (promptParts.size() > 1) {
            tokens = tokens - std::min(tokens, promptParts.front().tokens);
        }
        return tokens;
    }

    /// Whether the request continues a program that has had a turn or a call, as far as the request alone tells: it names the turn
    /// before or resumes a stream, or it is a program's call without a prompt, which a turn has asked for.
    bool continuesProgram() const
    {
        return previousTurn || lastEventId || (program && !promptTokens);
    }

    std::optional<KeyDigest> key; ///< Of the key with which the caller identifies itself.
    std::string affinityKey; ///< The object that the request is about; empty when the request names none.
};

/// What the headers of an endpoint's response say.
struct ResponseMetadata {
    bool hasSignature = false; ///< Whether the response carries an endpoint's signature.
    bool isNotExecuted = false; ///< The endpoint has not executed the request and never will.
    bool isFromOtherEndpoint = false; ///< The address now belongs to another endpoint.
    bool isEventStream = false; ///< The body consists of events, as far as its content type tells.
    bool isLeaving = false; ///< The endpoint leaves, and gets no new requests.
    bool isContentEncoded = false; ///< The body is not as the endpoint sent it, for example compressed on the way.
    std::optional<EndpointLoad> load;
};

} // namespace flamingo
