#pragma once

#include "core/time.h"
#include "serving/endpointentry.h"

#include <map>
#include <optional>
#include <vector>

namespace flamingo
{

/// The endpoints that may get requests. Entries lapse in the registry while the store is away although their endpoints
/// live, so an entry that goes missing in that time is kept until it has had the chance to come back.
class EndpointDirectory
{
public:
    /// How long after the store's return a live endpoint has entered itself again.
    static constexpr Milliseconds ReregistrationTime{2000};

    /// Takes one entry, new or changed. Returns whether it changes where requests may go.
    bool put(const EndpointEntry &entry);

    /// An entry has gone from the registry.
    bool remove(const EndpointId &id, Instant now);

    /// The registry as a whole: what isn't in it has gone.
    bool replaceAll(const std::vector<EndpointEntry> &entries, Instant now);

    /// The store doesn't answer; what goes missing from here on may have lapsed.
    void onStoreUnreachable();

    /// The store answers again.
    void onStoreReachable(Instant now);

    /// Drops entries whose time to come back is over. Returns whether there were any.
    bool removeExpired(Instant now);

    /// Whether an endpoint holds an address that another request could now meet somebody else at.
    const EndpointEntry *find(const EndpointId &id) const;

    std::vector<EndpointEntry> all() const;

    bool isEmpty() const;

private:
    struct KnownEndpoint {
        EndpointEntry entry;
        bool isMissing = false; ///< Gone from the registry while the store was away.
    };

    bool mayHaveExpired(Instant now) const;

    std::map<EndpointId, KnownEndpoint> m_endpoints;
    bool m_isStoreUnreachable = false;
    std::optional<Instant> m_storeReachableAt;
};

} // namespace flamingo
