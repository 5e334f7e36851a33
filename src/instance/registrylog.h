#pragma once

#include "core/time.h"
#include "instance/registrymessages.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// The keys with one prefix and their latest changes, as a reader has got them from the store. Only the newest value of each key is kept, so
/// that memory and responses don't grow with the number of changes. It does no I/O. Times are of suspendAwareNow(), so that the age of a
/// response includes the time for which the machine was suspended.
class RegistryLog
{
public:
    /// The keys were listed at a revision; changes before it are unknown.
    void restart(const std::vector<platform::StoreItem> &items, platform::Revision revision, Instant confirmedAt);

    /// The store has reported these changes, which may be none, and that there are no others up to its revision.
    void append(const platform::StoreChanges &changes, Instant confirmedAt);

    /// Sets whether the store responds.
    void setStoreUnavailable(bool isUnavailable);

    /// The response to a poll; nothing while there is nothing that its sender doesn't know.
    std::optional<RegistryUpdate> respond(const RegistryPoll &poll, Instant now) const;

    /// The response to a poll whose waiting time is over.
    RegistryUpdate respondNow(const RegistryPoll &poll, Instant now) const;

private:
    void remove(const platform::StoreItem &removal);

    std::map<std::string, platform::StoreItem> m_items; ///< By key.
    std::deque<platform::StoreItem> m_removals; ///< The latest ones, each key at most once and none that is present.
    platform::Revision m_oldestRevision = 0; ///< All changes after this one are known; 0 before the first listing.
    platform::Revision m_revision = 0;
    Instant m_confirmedAt{};
    bool m_isStoreUnavailable = false;
};

} // namespace flamingo
