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

/// Adapts the platform's store to the operations of the journals, for daemons whose logic runs on other threads. It has a
/// thread of its own, on which handlers are called. A version is the key's revision in the store.
class JournalStore
{
public:
    JournalStore(SocketAddress address, Metrics &metrics);

    /// Ends the thread. Handlers of calls in progress are not called any more.
    ~JournalStore();

    void perform(StoreOperation operation, std::function<void(StoreReply reply)> onReply);

    /// Long-polls the store for changes to keys with the prefix after the revision. With revision 0, or when the store no
    /// longer has the changes since then, the result holds all keys with the prefix.
    void watch(const std::string &prefix, std::uint64_t afterRevision, std::function<void(WatchResult result)> onResult);

    /// Like watch(), for endpoint registrations. Entries that can't be decoded count as absent.
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
