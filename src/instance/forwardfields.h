#pragma once

#include "http/messagehead.h"

namespace flamingo
{

/// Header fields of a request that one instance forwards to an endpoint for another. They are removed before a forwarded request reaches its endpoint, and
/// before its response reaches the instance that has the caller.
struct ForwardFields {
    static constexpr const char *Endpoint = "Flamingo-Endpoint"; ///< Id of the endpoint.
    static constexpr const char *MaxIdleMs = "Flamingo-Max-Idle-Ms"; ///< Compare ClientRequest::maxIdleTime; in milliseconds.
    static constexpr const char *SilenceLimitMs = "Flamingo-Silence-Limit-Ms"; ///< Compare ClientRequest::silenceLimit; in milliseconds.
    /// Of a response: the request has certainly not reached the endpoint. The value is one of the reasons below.
    static constexpr const char *NotSent = "Flamingo-Not-Sent";

    static constexpr const char *EndpointUnreachable = "endpoint-unreachable"; ///< The forwarding instance couldn't connect to it.
    static constexpr const char *NotForwarding = "not-forwarding"; ///< The instance can't forward at the moment, whichever the endpoint.

    /// Removes all of these fields, since a caller or an endpoint may have sent some of the same names.
    static void removeFrom(HeaderFields &fields)
    {
        for (const char *name : {Endpoint, MaxIdleMs, SilenceLimitMs, NotSent}) {
            fields.remove(name);
        }
    }
};

} // namespace flamingo
