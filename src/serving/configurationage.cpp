#include "serving/configurationage.h"

#include <algorithm>

namespace flamingo
{

namespace
{
/// Keys are refused from this percentage of the bound on. The rest covers clocks that run at different speeds.
constexpr int RefusalPercent = 90;
/// From this percentage of the bound on nobody is owed service. In calm operation the configuration is confirmed before that.
constexpr int OwedServicePercent = 60;
/// Without a bound, watches wait 5 s at most and polls 1 s, so that the age stays below this in calm operation.
constexpr Milliseconds UsualMaxAge{15000};
/// An age grows to two waits and the time of a call before the next confirmation.
constexpr int WaitsPerBound = 5;
} // namespace

ConfigurationAge::ConfigurationAge(std::optional<Milliseconds> revocationBound)
    : m_bound(revocationBound)
{
}

void ConfigurationAge::confirm(Instant sentAt)
{
    m_confirmedAt = std::max(sentAt, m_confirmedAt.value_or(sentAt));
}

std::optional<Instant> ConfigurationAge::confirmedAt() const
{
    return m_confirmedAt;
}

bool ConfigurationAge::mayAcceptKeys(Instant now) const
{
    if (!m_bound) {
        return true;
    }
    return m_confirmedAt && now - *m_confirmedAt < *m_bound * RefusalPercent / 100;
}

bool ConfigurationAge::mayRejectUnknownKeys(Instant now) const
{
    return m_confirmedAt && now - *m_confirmedAt < (m_bound ? *m_bound * OwedServicePercent / 100 : UsualMaxAge);
}

std::optional<Milliseconds> ConfigurationAge::longestWait() const
{
    return m_bound ? std::optional<Milliseconds>(*m_bound / WaitsPerBound) : std::nullopt;
}

} // namespace flamingo
