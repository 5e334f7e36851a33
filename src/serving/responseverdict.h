#pragma once

#include "serving/requestmetadata.h"

namespace flamingo
{

/// A response that has arrived up to its end, as far as its end could be recognized.
struct ReceivedResponse {
    int status = 0;
    ResponseMetadata metadata;
    int eventCount = 0; ///< Events that were passed on.
    bool endsInsideEvent = false; ///< The last bytes are the beginning of an event.
};

/// What a response has to fit.
struct ResponseExpectation {
    bool isStream = false; ///< The route's responses are streams of events.
    bool isResumption = false; ///< The caller has got the beginning of a stream, which the response has to continue.
};

/// What a response says about its request.
enum class ResponseVerdict {
    Usable, ///< It goes to the caller.
    NotExecuted, ///< The endpoint has not executed the request and never will.
    Invalid, ///< It isn't what the endpoint sent.
    ServerError, ///< Another attempt may fare better.
    BrokenOff, ///< A part is missing.
    NotContinued, ///< It doesn't continue the caller's stream.
};

/// Whether the events of a response may be passed on as they arrive, as far as its head tells.
bool mayForwardEvents(int status, const ResponseMetadata &metadata, const ResponseExpectation &expectation);

/// Judges a response that has arrived.
ResponseVerdict judgeResponse(const ReceivedResponse &response, const ResponseExpectation &expectation);

/// The verdict for logs.
const char *verdictText(ResponseVerdict verdict);

bool isSuccessStatus(int status);

} // namespace flamingo
