#include "policy/loadestimate.h"

#include <algorithm>
#include <cmath>

namespace flamingo
{

namespace
{
/// A load report is outdated after a few hundred milliseconds.
constexpr std::chrono::duration<double> LoadReportDecayTime{0.4};
} // namespace

void LoadEstimate::onOwnCallsChanged(int ownCalls, Instant now)
{
    m_ownCalls.emplace_back(now, ownCalls);
    while (m_ownCalls.size() > 1 && m_ownCalls[1].first <= now - ReportAge) {
        m_ownCalls.pop_front();
    }
}

int LoadEstimate::ownCallsAt(Instant time) const
{
    int calls = 0;
    for (const auto &[changedAt, ownCalls] : m_ownCalls) {
        if (changedAt > time) {
            break;
        }
        calls = ownCalls;
    }
    return calls;
}

void LoadEstimate::onReport(const EndpointLoad &load, int ownCalls, Instant now)
{
    m_hasReport = true;
    m_reportedCallsOfOthers = std::max(0, load.runningCalls + load.waitingCalls - ownCallsAt(now - ReportAge));
    m_callsOfOtherDispatchers = std::max(0, load.runningCalls + load.waitingCalls - ownCalls);
    m_reportedSlowdown = std::max(1.0, load.durationPercent / 100.0);
    m_reportedAt = now;
}

double LoadEstimate::callsOfOtherDispatchers(Instant now) const
{
    const std::chrono::duration<double> age = now - m_reportedAt;
    return m_callsOfOtherDispatchers * std::exp(-age.count() / LoadReportDecayTime.count());
}

double LoadEstimate::reportWeight(Instant now, Milliseconds decayTime) const
{
    const std::chrono::duration<double, std::milli> age = now - m_reportedAt + ReportAge;
    return m_hasReport ? std::exp(-age.count() / static_cast<double>(decayTime.count())) : 0;
}

double LoadEstimate::reportedCallsOfOthers() const
{
    return m_reportedCallsOfOthers;
}

double LoadEstimate::expectedCallsOfOthers(Instant now, double poolMean, Milliseconds decayTime) const
{
    return poolMean + reportWeight(now, decayTime) * (m_reportedCallsOfOthers - poolMean);
}

double LoadEstimate::reportedSlowdown(Instant now) const
{
    const std::chrono::duration<double> age = now - m_reportedAt;
    return 1 + (m_reportedSlowdown - 1) * std::exp(-age.count() / LoadReportDecayTime.count());
}

} // namespace flamingo
