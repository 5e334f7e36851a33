#include "serving/softwareversions.h"

namespace flamingo
{

void SoftwareVersions::setFirstStart()
{
    m_isFirstStart = true;
}

void SoftwareVersions::update(const std::vector<EndpointEntry> &endpoints, Instant now)
{
    std::map<PoolId, std::set<SoftwareVersion>> present;
    for (const EndpointEntry &entry : endpoints) {
        present[entry.pool].insert(entry.version);
    }
    for (const auto &[pool, versions] : m_present) {
        for (const SoftwareVersion &version : versions) {
            if (present[pool].count(version) == 0) {
                m_left[pool][version] = now;
            }
        }
    }
    m_present = std::move(present);
    m_knownSince = m_knownSince.value_or(now);
}

void SoftwareVersions::add(const PoolId &pool, const SoftwareVersion &version, Instant now)
{
    m_left[pool][version] = now;
}

void SoftwareVersions::restart(Instant now)
{
    m_isFirstStart = false;
    m_knownSince = now;
}

std::set<SoftwareVersion> SoftwareVersions::seenVersions(const PoolId &pool, Instant now) const
{
    std::set<SoftwareVersion> versions;
    if (const auto present = m_present.find(pool); present != m_present.end()) {
        versions = present->second;
    }
    if (const auto left = m_left.find(pool); left != m_left.end()) {
        for (const auto &[version, until] : left->second) {
            if (now - until < MaxStreamLifetime) {
                versions.insert(version);
            }
        }
    }
    return versions;
}

bool SoftwareVersions::isComplete(Instant now) const
{
    return m_knownSince && (m_isFirstStart || now - *m_knownSince >= MaxStreamLifetime);
}

std::optional<SoftwareVersion> SoftwareVersions::soleVersion(const PoolId &pool, std::optional<Instant> confirmedAt, Instant now) const
{
    const std::set<SoftwareVersion> versions = seenVersions(pool, now);
    const bool isViewRecent = confirmedAt && now - *confirmedAt <= MaxViewAge;
    return isComplete(now) && isViewRecent && versions.size() == 1 ? std::optional<SoftwareVersion>(*versions.begin()) : std::nullopt;
}

} // namespace flamingo
