#pragma once

#include "core/loopthread.h"
#include "core/metrics.h"
#include "journal/storeoperation.h"
#include "platform/platformstore.h"
#include "serving/endpointchanges.h"

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

    /// As watch, for the endpoints that have registered themselves. Entries that can't be read name no endpoint.
    void watchEndpoints(std::uint64_t afterRevision, std::function<void(EndpointChanges changes)> onChanges);

private:
    void read(const StoreOperation &operation, std::function<void(StoreReply)> onReply);
    void change(const StoreOperation &operation, std::function<void(StoreReply)> onReply);
    void listAll(const std::string &prefix, std::function<void(WatchResult result)> onResult);
    void listEndpoints(std::function<void(EndpointChanges changes)> onChanges);

    LoopThread m_thread;
    platform::PlatformStore m_store;
};

} // namespace flamingo
