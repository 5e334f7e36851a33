#pragma once

#include "core/time.h"
#include "platform/platformstore.h"

#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// Asks a registry reader for the changes to the keys with a prefix after a revision.
struct RegistryPoll {
    std::string prefix;
    platform::Revision after = 0;
    Milliseconds wait{0}; ///< How long the reader may wait for a change.
    bool isStoreUnavailable = false; ///< The sender already knows that the store is unavailable.

    std::string encode() const;
    static std::optional<RegistryPoll> decode(const std::string &bytes);
};

/// A registry reader's response to a poll.
struct RegistryUpdate {
    bool isFromReader = false; ///< The sender is a reader and has listed the keys; if it isn't, the other fields are unset.
    bool isListing = false; ///< The items are all keys, since the reader doesn't know all changes since the revision of the poll.
    bool isStoreUnavailable = false; ///< The reader gets no response from the store.
    Milliseconds age{0}; ///< Since the store last confirmed that the reader is up to date.
    /// Of the configuration: from the sending of the store call that last confirmed it to the arrival of the poll. It is negative when
    /// the call was sent while the poll waited; absent for other prefixes.
    std::optional<Milliseconds> confirmationAge;
    platform::Revision revision = 0; ///< All changes up to this one are in the response or were in earlier ones.
    std::vector<platform::StoreItem> items;

    std::string encode() const;
    static std::optional<RegistryUpdate> decode(const std::string &bytes);
};

} // namespace flamingo
