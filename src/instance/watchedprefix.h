#pragma once

#include "core/time.h"
#include "platform/platformstore.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// The state of RegistryWatcher for one key prefix: what was seen of it, and the call that is under way.
struct WatchedPrefix {
    std::string prefix;
    Milliseconds coalescingDelay{0}; ///< Between a change and the next call, so that successive changes form a batch.
    std::uint64_t callNumber = 0; ///< Of the latest call; responses to earlier calls are ignored.
    std::optional<Instant> callSentAt; ///< When the call under way was sent.
    bool isCatchingUp = false; ///< The call under way was sent when peers were known to be ahead.
    std::uint64_t listedForPeerVersion = 0; ///< The newest that a peer had reported when the last listing began.
    platform::Revision newestRevision = 0; ///< Of the newest change seen.
    std::uint64_t newestPeerVersion = 0; ///< The newest that a peer has reported; compare isBehindPeers().
    platform::Revision watchRevision = 0; ///< Where the next watch begins; 0 if the prefix has to be listed again.
    platform::Revision appliedRevision = 0; ///< All changes up to it have been applied.
    /// Up to which each single change has been seen, also those that a later one has replaced.
    platform::Revision continuousRevision = 0;
    std::optional<Instant> confirmedAt; ///< When the store last confirmed that everything was seen, by suspendAwareNow().
    bool isLoaded = false;
    bool isStoreUnavailable = false;
    bool hasReaderFailed = false; ///< Until a reader responds again, the next ones aren't given time to wait for a change.
    bool isReaderBypassed = false; ///< The next call goes to the store itself.
    int consecutiveFailures = 0;
    std::vector<platform::StoreItem> listedItems; ///< Items of the listing in progress.
    Instant listedAt{}; ///< When the first call of the listing in progress was sent, by suspendAwareNow().
    platform::Revision listRevision = 0; ///< Of the first page of the listing in progress.
};

} // namespace flamingo
