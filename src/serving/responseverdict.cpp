#include "serving/responseverdict.h"

namespace flamingo
{

bool mayForwardEvents(int status, const ResponseMetadata &metadata, const ResponseExpectation &expectation)
{
    const bool isSound = isSuccessStatus(status) && metadata.hasSignature && !metadata.isContentEncoded;
    return isSound && expectation.isStream && (metadata.isEventStream || !expectation.isResumption);
}

ResponseVerdict judgeResponse(const ReceivedResponse &response, const ResponseExpectation &expectation)
{
    constexpr int FirstServerError = 500;
    const ResponseMetadata &metadata = response.metadata;
    if (metadata.isNotExecuted) {
        return ResponseVerdict::NotExecuted;
    }
    if (response.status >= FirstServerError) {
        return ResponseVerdict::ServerError;
    }
    if (!isSuccessStatus(response.status)) {
        return expectation.isResumption ? ResponseVerdict::NotContinued : ResponseVerdict::Usable;
    }
    if (!metadata.hasSignature || metadata.isContentEncoded) {
        return ResponseVerdict::Invalid;
    }
    // Where the connection's end is the body's end, a crash of the endpoint looks like the end of the stream.
    if (expectation.isStream && metadata.isEventStream && response.endsInsideEvent) {
        return ResponseVerdict::BrokenOff;
    }
    if (expectation.isResumption && (!metadata.isEventStream || response.eventCount == 0)) {
        return ResponseVerdict::NotContinued;
    }
    return ResponseVerdict::Usable;
}

const char *verdictText(ResponseVerdict verdict)
{
    switch (verdict) {
    case ResponseVerdict::Usable:
        return "usable";
    case ResponseVerdict::NotExecuted:
        return "not executed";
    case ResponseVerdict::Invalid:
        return "unsigned or encoded response";
    case ResponseVerdict::ServerError:
        return "endpoint returned a server error";
    case ResponseVerdict::BrokenOff:
        return "stream ended inside an event";
    case ResponseVerdict::NotContinued:
        return "endpoint did not resume the stream";
    }
    return "";
}

bool isSuccessStatus(int status)
{
    constexpr int FirstSuccess = 200;
    constexpr int FirstRedirect = 300;
    return status >= FirstSuccess && status < FirstRedirect;
}

} // namespace flamingo
