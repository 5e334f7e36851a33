#include "instance/dispatchqueue.h"

#include <utility>

namespace flamingo
{

namespace
{
/// Instances that are taken to share each endpoint. It sets the calls with which an instance begins at an endpoint;
/// from there on what it observes decides.
constexpr int AssumedOwners = 4;

Instant now()
{
    return std::chrono::steady_clock::now();
}
} // namespace

Placement::Placement(const PolicyRules &rules, const DomainId &ownDomain, const EndpointDirectory &directory)
    : m_dispatcher(rules, ownDomain)
    , m_directory(directory)
{
}

void Placement::refreshEndpoints()
{
    std::vector<EndpointInfo> views;
    for (const EndpointEntry &entry : m_directory.all()) {
        views.push_back({entry.id, entry.pool, entry.domain, entry.slots, entry.isLeaving});
    }
    m_dispatcher.setEndpoints(views, AssumedOwners);
    pump();
}

Result<CallId> Placement::enqueue(DispatchRequest call, SendHandler onSend)
{
    call.id = CallId(++m_lastCall);
    const CallId id = call.id;
    const auto taken = m_dispatcher.enqueue(call, now());
    if (!taken) {
        return tl::make_unexpected(taken.error());
    }
    m_waiting.emplace(id, std::move(onSend));
    pump();
    return id;
}

void Placement::remove(CallId call)
{
    if (m_waiting.erase(call) != 0) {
        m_dispatcher.remove(call);
    }
}

void Placement::onLoad(const EndpointId &endpoint, const EndpointLoad &load)
{
    m_dispatcher.onLoadReported(endpoint, load, now());
}

void Placement::onFinished(const DispatchRequest &call, const EndpointId &endpoint, const CallObservation &observation)
{
    m_dispatcher.onAttemptFinished(call, endpoint, observation, now());
    pump();
}

void Placement::onFailed(const DispatchRequest &call, const EndpointId &endpoint, bool isFault)
{
    m_dispatcher.onAttemptFailed(call, endpoint, isFault, now());
    pump();
}

void Placement::onTimer()
{
    if (!m_waiting.empty()) {
        pump();
    }
}

Milliseconds Placement::retryAfter(const PoolId &pool) const
{
    return m_dispatcher.retryAfter(pool);
}

std::size_t Placement::waiting() const
{
    return m_waiting.size();
}

// Handlers may end calls, which asks for another round; the rounds follow each other instead of nesting.
void Placement::pump()
{
    m_isAskedAgain = true;
    if (m_isPumping) {
        return;
    }
    m_isPumping = true;
    while (std::exchange(m_isAskedAgain, false)) {
        for (const DispatchDecision &dispatch : m_dispatcher.nextDecisions(now())) {
            const auto it = m_waiting.find(dispatch.call);
            const SendHandler onSend = std::move(it->second);
            m_waiting.erase(it);
            onSend(*m_directory.find(dispatch.endpoint), dispatch.reason);
        }
    }
    m_isPumping = false;
}

} // namespace flamingo
