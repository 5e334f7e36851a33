#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "serving/endpointentry.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace flamingo
{

/// The software versions that the endpoints of each pool had lately. A stream whose beginning isn't known may go on only where its pool had
/// a single version for as long as a stream can last. It does no I/O; times are of suspendAwareNow().
class SoftwareVersions
{
public:
    /// The longest time from a stream's beginning to the last try to resume it.
    static constexpr Milliseconds MaxStreamLifetime{30000};

    /// A view of the endpoints that was confirmed longer ago may lack a new version.
    static constexpr Milliseconds MaxViewAge{10000};

    /// The whole system starts for the first time, so no stream began before.
    void setFirstStart();

    /// The endpoints have changed to these.
    void update(const std::vector<EndpointEntry> &endpoints, Instant now);

    /// The versions that the pool's endpoints were seen with during the last MaxStreamLifetime.
    std::set<SoftwareVersion> seenVersions(const PoolId &pool, Instant now) const;

    /// Whether these are all that there were: endpoints were seen all the while, and the store has confirmed the last view lately.
    bool isComplete(std::optional<Instant> confirmedAt, Instant now) const;

    /// The only version that the pool's endpoints have had for MaxStreamLifetime; nothing if there were several, or if this isn't known.
    std::optional<SoftwareVersion> soleVersion(const PoolId &pool, std::optional<Instant> confirmedAt, Instant now) const;

private:
    using Versions = std::map<SoftwareVersion, Instant>; ///< With the time until which each was there.

    std::map<PoolId, std::set<SoftwareVersion>> m_present;
    std::map<PoolId, Versions> m_left;
    std::optional<Instant> m_knownSince;
    bool m_isFirstStart = false;
};

} // namespace flamingo
