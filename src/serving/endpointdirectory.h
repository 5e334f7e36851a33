#pragma once

#include "core/time.h"
#include "serving/endpointentry.h"

#include <map>
#include <optional>
#include <vector>

namespace flamingo
{

/// The endpoints that may receive requests. While the store is unreachable, registrations expire although their endpoints
/// still run, so an entry that disappears in that time is kept until its endpoint had time to register again.
class EndpointDirectory
{
public:
    /// Time after the store's return within which a running endpoint has registered again.
    static constexpr Milliseconds ReregistrationTime{2000};
    /// Longer than an endpoint takes to leave. A notice that was wrong takes the endpoint out of use for no longer.
    static constexpr Milliseconds LeavingNoticeLifetime{300000};

    /// Adds or updates an entry. Returns whether this changes how requests are routed. An entry of an earlier start of the
    /// same endpoint is ignored.
    bool put(const EndpointEntry &entry);

    /// The endpoint, as it was started at that time, has said in a response that it leaves. Its entry counts as leaving from now on,
    /// also when the registry still says otherwise, until it has been started anew or LeavingNoticeLifetime is over. Returns whether
    /// this changes how requests are routed.
    bool markLeaving(const EndpointId &id, std::int64_t startedAtMs, Instant now);

    /// Called when an entry was removed from the registry. Returns whether it was removed here too.
    bool remove(const EndpointId &id, Instant now);

    /// Applies a full listing of the registry; entries that are not listed count as removed. Returns whether routing changes.
    bool replaceAll(const std::vector<EndpointEntry> &entries, Instant now);

    /// The store doesn't respond. Entries that disappear from here on may have expired only.
    void onStoreUnreachable();

    /// The store responds again.
    void onStoreReachable(Instant now);

    /// Removes missing entries whose time to register again is over, and notices that are. Returns whether there were any.
    bool removeExpired(Instant now);

    /// The endpoint's entry, or nullptr when the endpoint is unknown.
    const EndpointEntry *find(const EndpointId &id) const;

    std::vector<EndpointEntry> all() const;

    bool isEmpty() const;

private:
    struct KnownEndpoint {
        EndpointEntry entry;
        bool isRegisteredLeaving = false; ///< As the registry says.
        bool isMissing = false; ///< Disappeared from the registry at a time when it may have expired only.
    };

    struct LeavingNotice {
        std::int64_t startedAtMs = 0;
        Instant receivedAt;
    };

    bool mayHaveExpired(Instant now) const;
    bool isMarkedLeaving(const EndpointEntry &entry) const;
    bool removeExpiredNotices(Instant now);

    std::map<EndpointId, KnownEndpoint> m_endpoints;
    std::map<EndpointId, LeavingNotice> m_leavingNotices; ///< Kept when the entry disappears, since it may come back.
    bool m_isStoreUnreachable = false;
    std::optional<Instant> m_storeReachableAt;
};

} // namespace flamingo
