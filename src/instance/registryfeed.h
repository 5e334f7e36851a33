#pragma once

#include "core/timerservice.h"
#include "platform/platformstore.h"
#include "platform/recordcodec.h"
#include "serving/endpointdirectory.h"
#include "serving/fleet.h"
#include "serving/routetable.h"

#include <functional>
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
        std::function<void()> onEndpoints; ///< The directory has changed.
        std::function<void()> onFleet; ///< Instances have come or gone.
    };

    RegistryFeed(platform::PlatformStore &store, TimerService &timers, RouteTable &routes, EndpointDirectory &directory, Fleet &fleet, Hooks hooks);

    void start();

    /// Whether the configuration and the endpoints have been read once.
    bool isLoaded() const;

private:
    /// One prefix that is followed.
    struct Feed {
        std::string prefix;
        Milliseconds wait{0}; ///< The store answers after this long when nothing has changed.
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
    void onFailure(Feed &feed, const platform::StoreFailure &failure);
    void onAnswer(Feed &feed);
    void retry(Feed &feed);
    void apply(const platform::StoreItem &item);
    void applyInstance(const platform::StoreItem &item);
    void applyConfiguration(const std::string &bytes);
    void applyListing(const Feed &feed);

    platform::PlatformStore &m_store;
    TimerService &m_timers;
    RouteTable &m_routes;
    EndpointDirectory &m_directory;
    Fleet &m_fleet;
    Hooks m_hooks;
    Feed m_operator;
    Feed m_endpoints;
    Feed m_instances;
};

} // namespace flamingo
