#include "instance/dispatchqueue.h"

#include "core/digest.h"

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

DispatchQueue::DispatchQueue(const PolicyRules &rules, const DomainId &ownDomain, const EndpointDirectory &endpointDirectory)
    : m_dispatcher(rules, ownDomain)
    , m_endpointDirectory(endpointDirectory)
{
}

void DispatchQueue::refreshEndpoints()
{
    std::vector<EndpointInfo> endpoints;
    for (const EndpointEntry &entry : m_endpointDirectory.all()) {
        endpoints.push_back({entry.id, entry.pool, entry.domain, entry.slots, entry.isLeaving, entry.version});
    }
    m_dispatcher.setEndpoints(endpoints, AssumedInstancesPerEndpoint);
    dispatchWaiting();
    refuseUnservable();
}

void DispatchQueue::setUnreachableDomains(std::set<DomainId> domains)
{
    m_dispatcher.setUnreachableDomains(std::move(domains));
    dispatchWaiting();
}

void DispatchQueue::setInstances(std::size_t count, const InstanceId &self)
{
    m_dispatcher.setDispatchers(count, stableHash(self.value()));
}

void DispatchQueue::markLeaving(const EndpointId &endpoint)
{
    m_dispatcher.markLeaving(endpoint);
}

void DispatchQueue::refuseUnservable()
{
    for (const CallId call : m_dispatcher.takeUnservable()) {
        const auto it = m_handlers.find(call);
        if (it != m_handlers.end()) {
            const auto onRefused = std::move(it->second.onRefused);
            m_handlers.erase(it);
            onRefused({ErrorKind::NoEndpoint, "all endpoints have left", std::nullopt});
        }
    }
}

Result<CallId> DispatchQueue::enqueue(DispatchRequest &request, Handlers handlers)
{
    request.id = CallId(++m_lastCallId);
    const CallId id = request.id;
    const auto accepted = m_dispatcher.enqueue(request, now());
    if (!accepted) {
        return tl::make_unexpected(accepted.error());
    }
    m_handlers.emplace(id, std::move(handlers));
    dispatchWaiting();
    return id;
}

void DispatchQueue::remove(CallId call)
{
    if (m_handlers.erase(call) != 0) {
        m_dispatcher.remove(call);
    }
}

void DispatchQueue::onLoad(const EndpointId &endpoint, const EndpointLoad &load)
{
    m_dispatcher.onLoadReported(endpoint, load, now());
}

void DispatchQueue::onFinished(const DispatchRequest &request, const EndpointId &endpoint, const CallObservation &observation)
{
    m_dispatcher.onAttemptFinished(request, endpoint, observation, now());
    dispatchWaiting();
}

void DispatchQueue::onFailed(const DispatchRequest &request, const EndpointId &endpoint, bool isEndpointFault)
{
    m_dispatcher.onAttemptFailed(request, endpoint, isEndpointFault, now());
    dispatchWaiting();
}

void DispatchQueue::forgiveFailures()
{
    m_dispatcher.forgiveFailures();
    dispatchWaiting();
}

void DispatchQueue::onTimer()
{
    if (!m_handlers.empty()) {
        dispatchWaiting();
        refuseUnservable();
    }
}

Milliseconds DispatchQueue::retryAfter(const PoolId &pool) const
{
    return m_dispatcher.retryAfter(pool);
}

std::size_t DispatchQueue::waitingCount() const
{
    return m_handlers.size();
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
        for (const DispatchDecision &decision : m_dispatcher.nextDecisions(now())) {
            const auto it = m_handlers.find(decision.call);
            const auto onDispatch = std::move(it->second.onDispatch);
            m_handlers.erase(it);
            onDispatch(*m_endpointDirectory.find(decision.endpoint), decision.reason);
        }
    }
    m_isDispatching = false;
}

} // namespace flamingo
