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

void LoadEstimate::onReport(const EndpointLoad &load, int ownCalls, Instant now)
{
    m_callsOfOtherDispatchers = std::max(0, load.runningCalls + load.waitingCalls - ownCalls);
    m_reportedSlowdown = std::max(1.0, load.durationPercent / 100.0);
    m_reportedAt = now;
}

double LoadEstimate::callsOfOtherDispatchers(Instant now) const
{
    const std::chrono::duration<double> age = now - m_reportedAt;
    return m_callsOfOtherDispatchers * std::exp(-age.count() / LoadReportDecayTime.count());
}

double LoadEstimate::reportedSlowdown(Instant now) const
{
    const std::chrono::duration<double> age = now - m_reportedAt;
    return 1 + (m_reportedSlowdown - 1) * std::exp(-age.count() / LoadReportDecayTime.count());
}

} // namespace flamingo
