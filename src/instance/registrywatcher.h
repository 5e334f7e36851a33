#pragma once

#include "core/timerservice.h"
#include "platform/platformstore.h"
#include "platform/recordcodec.h"
#include "serving/endpointdirectory.h"
#include "serving/memberdirectory.h"
#include "serving/registryversions.h"
#include "serving/routetable.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace flamingo
{

/// Follows the configuration, the list of endpoints and the list of instances in the store, each by one waiting call at a
/// time.
class RegistryWatcher
{
public:
    struct Hooks {
        std::function<void()> onEndpointsChanged; ///< The directory has changed; called once for changes that come together.
        std::function<void()> onFleetChanged; ///< Instances have come or gone; likewise.
        std::function<void()> onFleetRead; ///< The list of instances is as new as the store's.
    };

    RegistryWatcher(platform::PlatformStore &store, TimerService &timers, RouteTable &routes, EndpointDirectory &directory, MemberDirectory &fleet, Hooks hooks);

    void start();

    /// Reads the list of instances anew.
    void reloadFleet();

    /// What this instance has seen, to be told to others.
    RegistryVersions seenVersions() const;

    /// Another instance has told what it has seen; where that is newer, the store is asked again.
    void onPeerVersions(const RegistryVersions &versions);

    /// Whether the configuration and the endpoints have been read once.
    bool isLoaded() const;

private:
    /// One prefix that is followed.
    struct WatchedPrefix {
        std::string prefix;
        Milliseconds coalescingDelay{0}; ///< Between a change and the next call, so that changes in a row come together.
        std::uint64_t callNumber = 0; ///< Answers to earlier calls are passed over.
        platform::Revision newestRevision = 0; ///< The newest change that was seen.
        platform::Revision newestPeerRevision = 0; ///< The newest change that another instance has told of.
        platform::Revision watchRevision = 0;
        bool isLoaded = false;
        bool isStoreUnavailable = false;
        int consecutiveFailures = 0;
        std::vector<platform::StoreItem> listedItems; ///< Pages of a listing under way.
        platform::Revision listRevision = 0;
    };

    void list(WatchedPrefix &watched, const std::string &afterKey);
    void onListPage(WatchedPrefix &watched, const platform::StorePage &page);
    void watch(WatchedPrefix &watched);
    void scheduleWatch(WatchedPrefix &watched, Milliseconds delay);
    Milliseconds watchTimeout(const WatchedPrefix &watched);
    void checkPeerRevision(WatchedPrefix &watched, platform::Revision revision);
    void onFailure(WatchedPrefix &watched, const platform::StoreFailure &failure);
    void onResponse(WatchedPrefix &watched);
    void retry(WatchedPrefix &watched);
    void applyItems(const std::vector<platform::StoreItem> &items);
    bool applyEndpoint(const platform::StoreItem &item, bool isLogged);
    void applyInstance(const platform::StoreItem &item, bool isLogged);
    void applyConfiguration(const std::string &bytes);
    void applyListing(const WatchedPrefix &watched);

    platform::PlatformStore &m_store;
    TimerService &m_timers;
    RouteTable &m_routes;
    EndpointDirectory &m_directory;
    MemberDirectory &m_fleet;
    Hooks m_hooks;
    WatchedPrefix m_configuration;
    WatchedPrefix m_endpoints;
    WatchedPrefix m_instances;
    std::minstd_rand m_random;
};

} // namespace flamingo
