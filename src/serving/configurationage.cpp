#include "serving/configurationage.h"

#include <algorithm>

namespace flamingo
{

namespace
{
/// Keys are refused from this percentage of the bound on. The rest covers clocks that run at different speeds.
constexpr int RefusalPercent = 90;
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

std::optional<Milliseconds> ConfigurationAge::longestWait() const
{
    return m_bound ? std::optional<Milliseconds>(*m_bound / WaitsPerBound) : std::nullopt;
}

} // namespace flamingo
