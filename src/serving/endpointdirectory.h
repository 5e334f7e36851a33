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

    /// Adds or updates an entry. Returns whether this changes how requests are routed. An entry of an earlier start of the
    /// same endpoint is ignored.
    bool put(const EndpointEntry &entry);

    /// Called when an entry was removed from the registry. Returns whether it was removed here too.
    bool remove(const EndpointId &id, Instant now);

    /// Applies a full listing of the registry; entries that are not listed count as removed. Returns whether routing changes.
    bool replaceAll(const std::vector<EndpointEntry> &entries, Instant now);

    /// The store doesn't respond. Entries that disappear from here on may have expired only.
    void onStoreUnreachable();

    /// The store responds again.
    void onStoreReachable(Instant now);

    /// Removes missing entries whose time to register again is over. Returns whether there were any.
    bool removeExpired(Instant now);

    /// The endpoint's entry, or nullptr when the endpoint is unknown.
    const EndpointEntry *find(const EndpointId &id) const;

    std::vector<EndpointEntry> all() const;

    bool isEmpty() const;

private:
    struct KnownEndpoint {
        EndpointEntry entry;
        bool isMissing = false; ///< Disappeared from the registry at a time when it may have expired only.
    };

    bool mayHaveExpired(Instant now) const;

    std::map<EndpointId, KnownEndpoint> m_endpoints;
    bool m_isStoreUnreachable = false;
    std::optional<Instant> m_storeReachableAt;
};

} // namespace flamingo
