#pragma once

#include "core/timerservice.h"
#include "http/connectionpool.h"
#include "http/eventsplitter.h"
#include "instance/bufferquota.h"
#include "serving/endpointentry.h"
#include "serving/requestmetadata.h"

#include <cstdint>
#include <optional>
#include <string>

namespace flamingo
{

/// One attempt to run a request: the endpoint it was sent to, and the response received so far.
struct Attempt {
    explicit Attempt(BufferQuota &quota)
        : bufferedBytes(quota)
    {
    }

    EndpointEntry endpoint;
    RequestHandle call;
    Instant sentAt;
    std::optional<Instant> firstByteAt;
    MessageHead responseHead;
    ResponseMetadata responseMetadata;
    std::string responseBody; ///< Of a response that is passed on once it is complete.
    BufferedBytes bufferedBytes; ///< Those of responseBody.
    EventSplitter eventSplitter;
    int eventCount = 0;
    bool isResumption = false; ///< The caller has got events of an earlier attempt, which this one has to continue.
    std::uint64_t number = 0; ///< Counts the attempts of a request, from 1.
    TimerService::TimerId overdueTimer = 0; ///< 0 if no timer is running.
};

} // namespace flamingo
