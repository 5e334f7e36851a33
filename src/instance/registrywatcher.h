#pragma once

#include "core/timerservice.h"
#include "http/internalrequest.h"
#include "instance/registryfeed.h"
#include "instance/registryreplica.h"
#include "instance/watchedprefix.h"
#include "platform/platformstore.h"
#include "platform/recordcodec.h"
#include "serving/configurationage.h"
#include "serving/endpointdirectory.h"
#include "serving/markfence.h"
#include "serving/memberdirectory.h"
#include "serving/registryreaders.h"
#include "serving/registryversions.h"
#include "serving/routetable.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace flamingo
{

/// Keeps the configuration, the list of endpoints and the member list in step with the store. Each is watched by one
/// long-polling call at a time, to the store or to another instance that reads the store for this one.
class RegistryWatcher
{
public:
    struct Hooks {
        std::function<void()> onEndpointsChanged; ///< Compare RegistryReplica::Hooks.
        std::function<void(const EndpointEntry &endpoint)> onEndpointRegistered;
        std::function<void()> onEndpointsMissed; ///< Endpoints may have come and gone, and the store doesn't tell any more.
        std::function<void()> onMembersChanged;
        /// The member list was up to date with the store at that time of suspendAwareNow().
        std::function<void(Instant confirmedAt)> onMembersRead;
    };

    /// Access to other instances.
    struct Peers {
        asio::io_context &context;
        ConnectionPool &connections;
        std::size_t readersPerDomain; ///< Compare RegistryReaders.
    };

    RegistryWatcher(platform::PlatformStore &store,
                    Peers peers,
                    TimerService &timers,
                    RouteTable &routes,
                    EndpointDirectory &endpointDirectory,
                    MemberDirectory &members,
                    ConfigurationAge &configurationAge,
                    Hooks hooks);

    void start();

    /// Reads the whole member list again.
    void reloadMembers();

    /// The revision up to which the member list holds all changes.
    MemberListRevision memberListRevision() const;

    /// The newest versions that this instance has seen, to be sent to its peers.
    RegistryVersions seenVersions() const;

    /// Takes the newest versions that a peer has seen. Where they are newer than this instance's, the store is queried again.
    void onPeerVersions(const RegistryVersions &versions);

    /// Another instance asks for changes. The handler is called once.
    void onPoll(const RegistryPoll &poll, RegistryFeed::UpdateHandler onUpdate);

    /// When the store last confirmed that the list of endpoints is up to date, by suspendAwareNow().
    std::optional<Instant> endpointsConfirmedAt() const;

    /// The revision up to which each registration of an endpoint has been seen.
    platform::Revision endpointsRevision() const;

    /// Whether the configuration and the endpoints have been loaded at least once.
    bool isLoaded() const;

private:
    void list(WatchedPrefix &watched, const std::string &afterKey);
    void onListPage(WatchedPrefix &watched, const platform::StorePage &page);
    void watch(WatchedPrefix &watched);
    void watchStore(WatchedPrefix &watched);
    bool hasWatchFailed(const WatchedPrefix &watched) const;
    std::uint64_t beginCall(WatchedPrefix &watched);
    void pollReader(WatchedPrefix &watched, const MemberRecord &reader);
    void onPollResponse(WatchedPrefix &watched, const MemberRecord &reader, const std::optional<InternalResponse> &response, Instant polledAt);
    void onUpdate(WatchedPrefix &watched, const MemberRecord &reader, const RegistryUpdate &update, Instant polledAt);
    bool bypassesReader(WatchedPrefix &watched);
    void bypassUnavailableReader();
    void applyChanges(WatchedPrefix &watched, const platform::StoreChanges &changes, Instant confirmedAt);
    void advanceContinuity(WatchedPrefix &watched, platform::Revision after, platform::Revision revision);
    bool hasUnknownRemoval(const std::vector<platform::StoreItem> &items) const;
    void readMissedEndpoints();
    void confirmConfiguration(const WatchedPrefix &watched, Instant sentAt);
    void setStoreUnavailable(WatchedPrefix &watched, const std::string &reason);
    void scheduleWatch(WatchedPrefix &watched, Milliseconds delay);
    Milliseconds watchTimeout(const WatchedPrefix &watched);
    void checkPeerVersion(WatchedPrefix &watched, std::uint64_t version);
    void scheduleCatchUp(WatchedPrefix &watched, std::uint64_t version, Milliseconds delay);
    void catchUp(WatchedPrefix &watched, std::uint64_t version);
    bool isCatchUpUnderWay(const WatchedPrefix &watched) const;
    bool shouldList(const WatchedPrefix &watched) const;
    bool isBehindPeers(const WatchedPrefix &watched) const;
    void onFailure(WatchedPrefix &watched, const platform::StoreFailure &failure);
    void onResponse(WatchedPrefix &watched);
    void retry(WatchedPrefix &watched);
    void onMembersChanged();
    void applyListing(WatchedPrefix &watched, const std::vector<platform::StoreItem> &items, platform::Revision revision, Instant confirmedAt);

    platform::PlatformStore &m_store;
    Peers m_peers;
    RegistryReaders m_readers;
    RegistryFeed m_feed;
    TimerService &m_timers;
    RouteTable &m_routes;
    EndpointDirectory &m_endpointDirectory;
    MemberDirectory &m_members;
    ConfigurationAge &m_configurationAge;
    Hooks m_hooks;
    RegistryReplica m_replica;
    WatchedPrefix m_watchedConfiguration;
    WatchedPrefix m_watchedEndpoints;
    WatchedPrefix m_watchedMembers;
    bool m_isReadingMissed = false; ///< Compare readMissedEndpoints().
    Instant m_nextStoreCheckAt{}; ///< While a reader reports that the store is unavailable: when this instance tries it itself.
    std::minstd_rand m_random;
};

} // namespace flamingo
