#include "instance/dispatchqueue.h"

#include <utility>

namespace flamingo
{

namespace
{
/// Number of instances that are assumed to share each endpoint. It determines an instance's initial concurrency at an
/// endpoint, which then follows what the instance observes.
constexpr int AssumedInstancesPerEndpoint = 4;

Instant now()
{
    return std::chrono::steady_clock::now();
}
} // namespace

DispatchQueue::DispatchQueue(const PolicyRules &rules, const DomainId &ownDomain, const EndpointDirectory &directory)
    : m_dispatcher(rules, ownDomain)
    , m_directory(directory)
{
}

void DispatchQueue::refreshEndpoints()
{
    std::vector<EndpointInfo> views;
    for (const EndpointEntry &entry : m_directory.all()) {
        views.push_back({entry.id, entry.pool, entry.domain, entry.slots, entry.isLeaving});
    }
    m_dispatcher.setEndpoints(views, AssumedInstancesPerEndpoint);
    dispatchWaiting();
}

Result<CallId> DispatchQueue::enqueue(DispatchRequest call, DispatchHandler onDispatch)
{
    call.id = CallId(++m_lastCallId);
    const CallId id = call.id;
    const auto accepted = m_dispatcher.enqueue(call, now());
    if (!accepted) {
        return tl::make_unexpected(accepted.error());
    }
    m_dispatchHandlers.emplace(id, std::move(onDispatch));
    dispatchWaiting();
    return id;
}

void DispatchQueue::remove(CallId call)
{
    if (m_dispatchHandlers.erase(call) != 0) {
        m_dispatcher.remove(call);
    }
}

void DispatchQueue::onLoad(const EndpointId &endpoint, const EndpointLoad &load)
{
    m_dispatcher.onLoadReported(endpoint, load, now());
}

void DispatchQueue::onFinished(const DispatchRequest &call, const EndpointId &endpoint, const CallObservation &observation)
{
    m_dispatcher.onAttemptFinished(call, endpoint, observation, now());
    dispatchWaiting();
}

void DispatchQueue::onFailed(const DispatchRequest &call, const EndpointId &endpoint, bool isEndpointFault)
{
    m_dispatcher.onAttemptFailed(call, endpoint, isEndpointFault, now());
    dispatchWaiting();
}

void DispatchQueue::onTimer()
{
    if (!m_dispatchHandlers.empty()) {
        dispatchWaiting();
    }
}

Milliseconds DispatchQueue::retryAfter(const PoolId &pool) const
{
    return m_dispatcher.retryAfter(pool);
}

std::size_t DispatchQueue::waitingCount() const
{
    return m_dispatchHandlers.size();
}

// Handlers may end calls, which calls this function again. Such calls only request another round, to avoid recursion.
void DispatchQueue::dispatchWaiting()
{
    m_isDispatchRequested = true;
    if (m_isDispatching) {
        return;
    }
    m_isDispatching = true;
    while (std::exchange(m_isDispatchRequested, false)) {
        for (const DispatchDecision &dispatch : m_dispatcher.nextDecisions(now())) {
            const auto it = m_dispatchHandlers.find(dispatch.call);
            const DispatchHandler onDispatch = std::move(it->second);
            m_dispatchHandlers.erase(it);
            onDispatch(*m_directory.find(dispatch.endpoint), dispatch.reason);
        }
    }
    m_isDispatching = false;
}

} // namespace flamingo
