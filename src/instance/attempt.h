#pragma once

#include "core/timerservice.h"
#include "http/eventsplitter.h"
#include "http/linkpool.h"
#include "serving/endpointentry.h"
#include "serving/requestmetadata.h"

#include <cstdint>
#include <optional>
#include <string>

namespace flamingo
{

/// One sending of a request: which endpoint works on it, and what has come back.
struct Attempt {
    EndpointEntry endpoint;
    OutgoingCall call;
    Instant sentAt;
    std::optional<Instant> firstByteAt;
    MessageHead responseHead;
    ResponseMetadata responseMetadata;
    std::string responseBody;
    EventSplitter eventSplitter;
    int eventCount = 0;
    std::uint64_t number = 0; ///< Counts a request's sendings from 1.
    TimerService::Subscription overdueTimer = 0; ///< 0 for none.
};

} // namespace flamingo
