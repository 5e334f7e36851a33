#include "policy/endpointstate.h"

#include <algorithm>
#include <cmath>

namespace flamingo
{

namespace
{
constexpr double Smoothing = 0.2;
constexpr double LimitDecrease = 0.85;
constexpr double MinLimit = 1.0;
/// A first token that comes this much later than the best seen shows that calls queue inside the endpoint.
constexpr double QueueingFactor = 2.0;
constexpr double QueueingSlackMs = 40.0;
/// The best seen forgets slowly, so that a lasting change becomes the new normal.
constexpr double BestDrift = 1.01;
constexpr Milliseconds FirstBackoff{200};
constexpr int MaxBackoffDoublings = 5;
constexpr std::chrono::duration<double> ObservationLife{4.0};
/// What an endpoint tells about its load is old after a few hundred milliseconds.
constexpr std::chrono::duration<double> LoadLife{0.4};

double smooth(double old, double sample)
{
    return old == 0 ? sample : old + Smoothing * (sample - old);
}
} // namespace

EndpointState::EndpointState(int slots, int owners)
    : m_slots(slots)
    , m_owners(std::max(1, owners))
    , m_limit(std::max(MinLimit, std::ceil(static_cast<double>(slots) / m_owners)))
{
}

void EndpointState::resize(int slots, int owners)
{
    m_slots = slots;
    m_owners = std::max(1, owners);
    m_limit = std::clamp(m_limit, MinLimit, static_cast<double>(slots));
}

void EndpointState::begin(bool isLong)
{
    ++m_running;
    m_runningLong += isLong ? 1 : 0;
}

void EndpointState::end(bool isLong)
{
    // An endpoint that was replaced under its id meanwhile begins with none.
    m_running = std::max(0, m_running - 1);
    m_runningLong = std::max(0, m_runningLong - (isLong ? 1 : 0));
}

void EndpointState::observe(const CallObservation &observation, Instant now)
{
    m_failuresInRow = 0;
    m_observedAt = now;
    const auto total = static_cast<double>(observation.total.count());
    const auto first = static_cast<double>(observation.firstToken.count());
    m_serviceTime = smooth(m_serviceTime, total);
    const double prefill = m_prefillPace * static_cast<double>(observation.prefilled.value());
    const double delay = std::max(0.0, first - prefill);
    if (observation.generated > Tokens(1)) {
        m_pace = smooth(m_pace, (total - first) / static_cast<double>(observation.generated.value() - 1));
    }
    if (observation.prefilled > Tokens(0)) {
        const double fresh = std::max(0.0, first - m_bestStartDelay) / static_cast<double>(observation.prefilled.value());
        m_prefillPace += Smoothing * (std::min(fresh, 2 * m_prefillPace + 0.01) - m_prefillPace);
    }
    m_startDelay = smooth(m_startDelay, delay);
    m_bestStartDelay = m_bestStartDelay == 0 ? delay : std::min(delay, m_bestStartDelay * BestDrift + 0.1);
    const bool isQueueing = delay > QueueingFactor * m_bestStartDelay + QueueingSlackMs;
    if (isQueueing) {
        m_limit = std::max(MinLimit, m_limit * LimitDecrease);
    } else if (m_running + 1 >= static_cast<int>(m_limit)) {
        m_limit = std::min(static_cast<double>(m_slots), m_limit + 1 / m_limit);
    }
}

void EndpointState::observePace(double msPerToken, Instant now)
{
    m_pace = smooth(m_pace, msPerToken);
    m_observedAt = now;
}

void EndpointState::observeLoad(const EndpointLoad &load, Instant now)
{
    m_runningForOthers = std::max(0, load.running + load.waiting - m_running);
    m_momentarySlowness = std::max(1.0, load.pacePercent / 100.0);
    m_loadSeenAt = now;
}

double EndpointState::runningForOthers(Instant now) const
{
    const std::chrono::duration<double> age = now - m_loadSeenAt;
    return m_runningForOthers * std::exp(-age.count() / LoadLife.count());
}

double EndpointState::momentarySlowness(Instant now) const
{
    const std::chrono::duration<double> age = now - m_loadSeenAt;
    return 1 + (m_momentarySlowness - 1) * std::exp(-age.count() / LoadLife.count());
}

void EndpointState::observeFailure(Instant now)
{
    m_usableAt = now + FirstBackoff * (1 << std::min(m_failuresInRow, MaxBackoffDoublings));
    ++m_failuresInRow;
}

void EndpointState::observeOverdue(Instant now)
{
    m_observedAt = now;
    m_startDelay *= 2;
    m_pace *= 1.5;
    m_limit = std::max(MinLimit, m_limit * LimitDecrease);
}

Instant EndpointState::observedAt() const
{
    return m_observedAt;
}

bool EndpointState::isUsable(Instant now) const
{
    return now >= m_usableAt;
}

bool EndpointState::hasRoom(const PolicyRules &rules) const
{
    return m_running + 1 <= limit(rules);
}

int EndpointState::running() const
{
    return m_running;
}

int EndpointState::runningLong() const
{
    return m_runningLong;
}

double EndpointState::limit(const PolicyRules &rules) const
{
    return rules.adaptsLimits ? m_limit : m_slots;
}

double EndpointState::pace(Instant now, double reference) const
{
    if (m_pace == 0) {
        return reference;
    }
    const std::chrono::duration<double> age = now - m_observedAt;
    const double weight = std::exp(-age.count() / ObservationLife.count());
    return reference + (m_pace - reference) * weight;
}

double EndpointState::prefillPace() const
{
    return m_prefillPace;
}

double EndpointState::serviceTime() const
{
    return m_serviceTime;
}

double EndpointState::startDelay() const
{
    return m_startDelay;
}

} // namespace flamingo
