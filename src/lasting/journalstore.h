#pragma once

#include "core/loopthread.h"
#include "core/metrics.h"
#include "journal/storeoperation.h"
#include "platform/platformstore.h"
#include "serving/endpointentry.h"

#include <functional>
#include <string>
#include <vector>

namespace flamingo
{

/// The platform's store as the journals ask for it, for daemons whose decisions run on other threads. It has a thread of
/// its own; handlers run there. A version is the store's revision of the key.
class JournalStore
{
public:
    JournalStore(SocketAddress address, Metrics &metrics);

    /// Ends the thread. Handlers of calls under way are not called any more.
    ~JournalStore();

    void perform(StoreOperation operation, std::function<void(StoreReply reply)> onReply);

    /// Waits on the platform's side until keys with the prefix change behind the revision. With revision 0, or when the
    /// changes since then are no longer kept, the result holds all keys with the prefix.
    void watch(const std::string &prefix, std::uint64_t afterRevision, std::function<void(WatchResult result)> onResult);

    /// The endpoints that have registered themselves; the handler isn't called when the store can't be reached.
    void listEndpoints(std::function<void(std::vector<EndpointEntry> endpoints)> onList);

private:
    struct Listing;

    void read(const StoreOperation &operation, std::function<void(StoreReply)> onReply);
    void change(const StoreOperation &operation, std::function<void(StoreReply)> onReply);
    void list(const std::shared_ptr<Listing> &listing);
    void listAll(const std::string &prefix, std::function<void(WatchResult result)> onResult);

    LoopThread m_thread;
    platform::PlatformStore m_store;
};

} // namespace flamingo
