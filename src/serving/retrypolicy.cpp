#include "serving/retrypolicy.h"

namespace flamingo
{

namespace
{
/// Number of rejections and failed connection attempts after which a request is still queued again.
constexpr int MaxRejections = 6;
constexpr int MaxSameEndpointRetries = 2;
} // namespace

RetryPolicy::RetryPolicy(bool mayRepeat, std::size_t maxEndpoints)
    : m_mayRepeat(mayRepeat)
    , m_maxEndpoints(maxEndpoints)
{
}

bool RetryPolicy::maySendTo(const EndpointId &endpoint) const
{
    return m_openAttempts.size() < m_maxEndpoints || m_openAttempts.count(endpoint) != 0;
}

void RetryPolicy::onSent(const EndpointId &endpoint)
{
    ++m_openAttempts[endpoint];
}

bool RetryPolicy::onNotExecuted(const EndpointId &endpoint)
{
    const auto it = m_openAttempts.find(endpoint);
    if (it != m_openAttempts.end() && --it->second == 0) {
        m_openAttempts.erase(it);
    }
    return ++m_rejections <= MaxRejections;
}

bool RetryPolicy::mayHaveRun() const
{
    return !m_openAttempts.empty();
}

bool RetryPolicy::mayRunElsewhere() const
{
    return m_mayRepeat && m_openAttempts.size() < m_maxEndpoints;
}

bool RetryPolicy::tryRetryAtSameEndpoint()
{
    return m_mayRepeat && ++m_sameEndpointRetries <= MaxSameEndpointRetries;
}

} // namespace flamingo
