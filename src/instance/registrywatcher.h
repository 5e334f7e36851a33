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
class RegistryFeed
{
public:
    struct Hooks {
        std::function<void()> onEndpoints; ///< The directory has changed; called once for changes that come together.
        std::function<void()> onFleet; ///< Instances have come or gone; likewise.
        std::function<void()> onFleetRead; ///< The list of instances is as new as the store's.
    };

    RegistryFeed(platform::PlatformStore &store, TimerService &timers, RouteTable &routes, EndpointDirectory &directory, MemberDirectory &fleet, Hooks hooks);

    void start();

    /// Reads the list of instances anew.
    void readFleet();

    /// What this instance has seen, to be told to others.
    RegistryVersions versions() const;

    /// Another instance has told what it has seen; where that is newer, the store is asked again.
    void onTold(const RegistryVersions &versions);

    /// Whether the configuration and the endpoints have been read once.
    bool isLoaded() const;

private:
    /// One prefix that is followed.
    struct Feed {
        std::string prefix;
        Milliseconds pause{0}; ///< Between a change and the next call, so that changes in a row come together.
        std::uint64_t call = 0; ///< Answers to earlier calls are passed over.
        platform::Revision newest = 0; ///< The newest change that was seen.
        platform::Revision told = 0; ///< The newest change that another instance has told of.
        platform::Revision after = 0;
        bool isLoaded = false;
        bool isAway = false;
        int failuresInRow = 0;
        std::vector<platform::StoreItem> listed; ///< Pages of a listing under way.
        platform::Revision listedAt = 0;
    };

    void list(Feed &feed, const std::string &afterKey);
    void onPage(Feed &feed, const platform::StorePage &page);
    void watch(Feed &feed);
    void watchLater(Feed &feed, Milliseconds after);
    Milliseconds waitTime(const Feed &feed);
    void checkTold(Feed &feed, platform::Revision told);
    void onFailure(Feed &feed, const platform::StoreFailure &failure);
    void onAnswer(Feed &feed);
    void retry(Feed &feed);
    void applyAll(const std::vector<platform::StoreItem> &items);
    bool applyEndpoint(const platform::StoreItem &item, bool isLogged);
    void applyInstance(const platform::StoreItem &item, bool isLogged);
    void applyConfiguration(const std::string &bytes);
    void applyListing(const Feed &feed);

    platform::PlatformStore &m_store;
    TimerService &m_timers;
    RouteTable &m_routes;
    EndpointDirectory &m_directory;
    MemberDirectory &m_fleet;
    Hooks m_hooks;
    Feed m_operator;
    Feed m_endpoints;
    Feed m_instances;
    std::minstd_rand m_random;
};

} // namespace flamingo
