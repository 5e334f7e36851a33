#pragma once

#include "core/ids.h"

#include <cstddef>
#include <map>

namespace flamingo
{

/// Decides whether a request may be sent again, and where: it is repeated only if its route allows that, runs at no more endpoints
/// than the route says, and any endpoint may be tried that has certainly not run it. Does no I/O.
class RetryPolicy
{
public:
    RetryPolicy() = default;

    /// mayRepeat tells whether the request may run more than once, maxEndpoints at how many endpoints at most.
    RetryPolicy(bool mayRepeat, std::size_t maxEndpoints);

    /// Whether the request may be sent to an endpoint without exceeding the number of endpoints.
    bool maySendTo(const EndpointId &endpoint) const;

    void onSent(const EndpointId &endpoint);

    /// The endpoint has certainly not run the last attempt. Returns whether it may wait for an endpoint once more.
    bool onNotExecuted(const EndpointId &endpoint);

    /// Whether some endpoint may have run the request.
    bool mayHaveRun() const;

    /// Whether the request may run at one more endpoint, after it may have run at others.
    bool mayRunElsewhere() const;

    /// Takes one of the retries at the same endpoint, which follow when a reused connection broke without a response.
    bool tryRetryAtSameEndpoint();

private:
    bool m_mayRepeat = false;
    std::size_t m_maxEndpoints = 1;
    std::map<EndpointId, int> m_openAttempts; ///< Number of attempts that an endpoint may have run.
    int m_rejections = 0;
    int m_sameEndpointRetries = 0;
};

} // namespace flamingo
