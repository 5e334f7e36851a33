#include "policy/endpointstate.h"

#include <algorithm>
#include <cmath>

namespace flamingo
{

namespace
{
constexpr double SmoothingFactor = 0.2;
constexpr double LimitDecreaseFactor = 0.85;
constexpr double MinConcurrencyLimit = 1.0;
/// A start delay this far above the lowest one shows that calls queue inside the endpoint.
constexpr double QueueingDelayFactor = 2.0;
constexpr double QueueingSlackMs = 40.0;
/// Lets the lowest start delay rise slowly, so that a lasting change becomes the new reference.
constexpr double LowestDelayDriftFactor = 1.01;
constexpr Milliseconds InitialBackoff{200};
constexpr int MaxBackoffDoublings = 5;
constexpr std::chrono::duration<double> ObservationDecayTime{4.0};

double smooth(double old, double sample)
{
    return old == 0 ? sample : old + SmoothingFactor * (sample - old);
}
} // namespace

EndpointState::EndpointState(int slots, int dispatcherCount)
    : m_slots(slots)
    , m_dispatcherCount(std::max(1, dispatcherCount))
    , m_concurrencyLimit(std::max(MinConcurrencyLimit, std::ceil(static_cast<double>(slots) / m_dispatcherCount)))
{
}

void EndpointState::setCapacity(int slots, int dispatcherCount)
{
    m_slots = slots;
    m_dispatcherCount = std::max(1, dispatcherCount);
    m_concurrencyLimit = std::clamp(m_concurrencyLimit, MinConcurrencyLimit, static_cast<double>(slots));
}

void EndpointState::beginCall(bool isLong, Instant now)
{
    ++m_runningCalls;
    m_runningLongCalls += isLong ? 1 : 0;
    m_loadEstimate.onOwnCallsChanged(m_runningCalls, now);
}

void EndpointState::endCall(bool isLong, Instant now)
{
    // An endpoint that was replaced under the same id starts at 0, while calls to the old one still end.
    m_runningCalls = std::max(0, m_runningCalls - 1);
    m_runningLongCalls = std::max(0, m_runningLongCalls - (isLong ? 1 : 0));
    m_loadEstimate.onOwnCallsChanged(m_runningCalls, now);
}

void EndpointState::observeCall(const CallObservation &observation, Instant now)
{
    m_consecutiveFailures = 0;
    m_lastObservedAt = now;
    const auto totalMs = static_cast<double>(observation.totalTime.count());
    const auto firstTokenMs = static_cast<double>(observation.timeToFirstToken.count());
    m_serviceTimeMs = smooth(m_serviceTimeMs, totalMs);
    const double prefillMs = m_prefillMsPerToken * static_cast<double>(observation.uncachedPromptTokens.value());
    const double delayMs = std::max(0.0, firstTokenMs - prefillMs);
    if (observation.generatedTokens > Tokens(1)) {
        const double msPerToken = (totalMs - firstTokenMs) / static_cast<double>(observation.generatedTokens.value() - 1);
        m_msPerToken = smooth(m_msPerToken, msPerToken);
        m_usualMsPerToken = smooth(m_usualMsPerToken, msPerToken);
    }
    if (observation.uncachedPromptTokens > Tokens(0)) {
        const double prefillSampleMs = std::max(0.0, firstTokenMs - m_lowestStartDelayMs) / static_cast<double>(observation.uncachedPromptTokens.value());
        m_prefillMsPerToken += SmoothingFactor * (std::min(prefillSampleMs, 2 * m_prefillMsPerToken + 0.01) - m_prefillMsPerToken);
    }
    m_startDelayMs = smooth(m_startDelayMs, delayMs);
    m_lowestStartDelayMs = m_lowestStartDelayMs == 0 ? delayMs : std::min(delayMs, m_lowestStartDelayMs * LowestDelayDriftFactor + 0.1);
    const bool isQueueing = delayMs > QueueingDelayFactor * m_lowestStartDelayMs + QueueingSlackMs;
    if (isQueueing) {
        m_concurrencyLimit = std::max(MinConcurrencyLimit, m_concurrencyLimit * LimitDecreaseFactor);
    } else if (m_runningCalls + 1 >= static_cast<int>(m_concurrencyLimit)) {
        m_concurrencyLimit = std::min(static_cast<double>(m_slots), m_concurrencyLimit + 1 / m_concurrencyLimit);
    }
}

void EndpointState::observeTokenTime(double msPerToken, Instant now)
{
    m_msPerToken = smooth(m_msPerToken, msPerToken);
    m_lastObservedAt = now;
}

void EndpointState::observeLoad(const EndpointLoad &load, Instant now)
{
    m_loadEstimate.onReport(load, m_runningCalls, now);
}

const LoadEstimate &EndpointState::loadEstimate() const
{
    return m_loadEstimate;
}

void EndpointState::forgiveFailures()
{
    m_consecutiveFailures = 0;
    m_usableFrom = {};
}

void EndpointState::observeFailure(Instant now)
{
    m_usableFrom = now + InitialBackoff * (1 << std::min(m_consecutiveFailures, MaxBackoffDoublings));
    ++m_consecutiveFailures;
}

void EndpointState::observeLateFirstToken(Instant now)
{
    m_lastObservedAt = now;
    m_startDelayMs *= 2;
    m_msPerToken *= 1.5;
    m_concurrencyLimit = std::max(MinConcurrencyLimit, m_concurrencyLimit * LimitDecreaseFactor);
}

Instant EndpointState::lastObservedAt() const
{
    return m_lastObservedAt;
}

bool EndpointState::isUsable(Instant now) const
{
    return now >= m_usableFrom;
}

bool EndpointState::hasFreeSlot(const PolicyRules &rules) const
{
    return m_runningCalls + 1 <= concurrencyLimit(rules);
}

int EndpointState::runningCalls() const
{
    return m_runningCalls;
}

int EndpointState::runningLongCalls() const
{
    return m_runningLongCalls;
}

double EndpointState::concurrencyLimit(const PolicyRules &rules) const
{
    return rules.adaptsConcurrencyLimits ? m_concurrencyLimit : m_slots;
}

double EndpointState::msPerToken(Instant now, double reference) const
{
    if (m_msPerToken == 0) {
        return reference;
    }
    const std::chrono::duration<double> age = now - m_lastObservedAt;
    const double weight = std::exp(-age.count() / ObservationDecayTime.count());
    return reference + (m_msPerToken - reference) * weight;
}

double EndpointState::usualMsPerToken() const
{
    return m_usualMsPerToken;
}

double EndpointState::prefillMsPerToken() const
{
    return m_prefillMsPerToken;
}

double EndpointState::serviceTimeMs() const
{
    return m_serviceTimeMs;
}

double EndpointState::startDelayMs() const
{
    return m_startDelayMs;
}

} // namespace flamingo
