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

    /// A view of the endpoints that was confirmed longer ago doesn't spare others a note; compare soleVersion().
    static constexpr Milliseconds MaxViewAge{10000};

    /// The whole system starts for the first time, so no stream began before.
    void setFirstStart();

    /// The endpoints have changed to these.
    void update(const std::vector<EndpointEntry> &endpoints, Instant now);

    /// An endpoint has registered with this version. It may be gone before the next update.
    void add(const PoolId &pool, const SoftwareVersion &version, Instant now);

    /// Endpoints may have come and gone unseen up to now.
    void restart(Instant now);

    /// The versions that the pool's endpoints were seen with during the last MaxStreamLifetime.
    std::set<SoftwareVersion> seenVersions(const PoolId &pool, Instant now) const;

    /// Whether these are all that there were, up to the changes that have arrived. The store may have later ones, however lately it has
    /// confirmed the list.
    bool isComplete(Instant now) const;

    /// The only version that the pool's endpoints have had for MaxStreamLifetime, by a view that was confirmed lately; nothing if there were
    /// several, or if this isn't known. It may be out of date, so no stream goes on by it alone.
    std::optional<SoftwareVersion> soleVersion(const PoolId &pool, std::optional<Instant> confirmedAt, Instant now) const;

private:
    using Versions = std::map<SoftwareVersion, Instant>; ///< With the time until which each was there.

    std::map<PoolId, std::set<SoftwareVersion>> m_present;
    std::map<PoolId, Versions> m_left;
    std::optional<Instant> m_knownSince;
    bool m_isFirstStart = false;
};

} // namespace flamingo
