#pragma once

#include "core/metrics.h"
#include "http/httpclient.h"
#include "journal/storeoperation.h"

#include <functional>
#include <string>
#include <vector>

namespace flamingo
{

/// An instance or endpoint on the platform's list.
struct ListedInstance {
    std::string id;
    bool isLeaving = false;
};

/// What a watch has seen.
struct WatchResult {
    bool isOk = false;
    std::uint64_t revision = 0; ///< Where the next watch goes on.
    std::vector<std::string> keys; ///< Keys that have changed.
};

/// The platform's key-value service and its list of instances, by their HTTP interface (see docs/platform.md).
/// Handlers run on the client's thread. Each call is counted by kind, as the platform counts it.
class StoreClient
{
public:
    /// The address is an IP number with a port.
    StoreClient(std::string address, Metrics &metrics);

    void perform(const StoreOperation &operation, std::function<void(StoreReply reply)> onReply);

    /// Waits on the platform's side until a key with the prefix changes after the revision.
    void watch(const std::string &prefix, std::uint64_t afterRevision, std::function<void(WatchResult result)> onResult);

    /// The platform's list; the handler isn't called when it can't be reached.
    void listInstances(std::function<void(std::vector<ListedInstance> instances)> onList);

private:
    HttpRequest makeRequest(const std::string &method, const std::string &pathAndQuery) const;

    const std::string m_base;
    Metrics &m_metrics;
    HttpClient m_client;
};

} // namespace flamingo
