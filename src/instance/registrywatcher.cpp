#include "instance/registrywatcher.h"

#include "core/digest.h"
#include "core/log.h"

#include <algorithm>
#include <utility>

namespace flamingo
{

namespace
{
/// A store that drops history may not report a change to a blocked watch, so each watch is renewed before an outdated
/// configuration or a leaving endpoint would be used for too long. The timeout grows with the number of instances that read the
/// store, because the first one that sees a change tells the others.
constexpr Milliseconds MinWatchTimeout{2000};
constexpr Milliseconds WatchTimeoutPerReader{250};
constexpr Milliseconds MaxWatchTimeout{5000};
/// The member list may lag behind, because calls to members also show which ones are available.
constexpr Milliseconds MemberWatchTimeout{10000};
constexpr Milliseconds ConfigurationCoalescingDelay{50};
constexpr Milliseconds EndpointCoalescingDelay{150};
constexpr Milliseconds MemberCoalescingDelay{1500};
/// Normally this instance's own watch reports a change within this time after a peer has seen it.
constexpr Milliseconds PeerVersionDelay{200};
/// A call that was sent when a peer was ahead is answered at once. After this long it counts as lost, and not before: an answer that
/// takes longer than the next report of a peer would never be used.
constexpr Milliseconds MaxCatchUpTime{700};
constexpr Milliseconds RetryDelay{300};
/// How long a reader may wait for a change, and how much later the next one is asked. All readers of a domain may be frozen or
/// gone, so only the first one gets time to wait: what the others take adds to the time after which a change is seen.
constexpr Milliseconds PollWait{1000};
constexpr Milliseconds MemberPollWait{4000};
constexpr Milliseconds PollTimeoutMargin{400};
/// A reader whose last response from the store is older has been paused or has lost its watch. It is longer than a watch may wait.
constexpr Milliseconds MaxUpdateAge{7000};
constexpr Milliseconds MaxMemberUpdateAge{15000};
/// The store may turn away only the readers, so during an outage each instance tries it now and then as well.
constexpr Milliseconds StoreCheckInterval{4000};
/// A watch that only shows whether the store is back.
constexpr Milliseconds StoreCheckWait{200};
/// At a start all instances register at the same time, so watches begin when most of them have.
constexpr Milliseconds FirstMemberWatchDelay{400};
constexpr Milliseconds FirstWatchDelay{500};
/// The member list is less urgent than the other two and can wait until those are available again.
constexpr Milliseconds MemberRetryDelay{2000};

Instant now()
{
    return std::chrono::steady_clock::now();
}
} // namespace

RegistryWatcher::RegistryWatcher(platform::PlatformStore &store,
                                 Peers peers,
                                 TimerService &timers,
                                 RouteTable &routes,
                                 EndpointDirectory &endpointDirectory,
                                 MemberDirectory &members,
                                 ConfigurationAge &configurationAge,
                                 Hooks hooks)
    : m_store(store)
    , m_peers(peers)
    , m_readers(members, peers.readersPerDomain)
    , m_feed(timers)
    , m_timers(timers)
    , m_routes(routes)
    , m_endpointDirectory(endpointDirectory)
    , m_members(members)
    , m_configurationAge(configurationAge)
    , m_hooks(std::move(hooks))
    , m_replica(routes, endpointDirectory, members, {m_hooks.onEndpointsChanged, m_hooks.onEndpointRegistered, [this] { onMembersChanged(); }})
    , m_random(static_cast<unsigned>(stableHash(members.self().value())))
{
    m_watchedConfiguration.prefix = platform::OperatorPrefix;
    m_watchedConfiguration.coalescingDelay = ConfigurationCoalescingDelay;
    m_watchedEndpoints.prefix = platform::EndpointPrefix;
    m_watchedEndpoints.coalescingDelay = EndpointCoalescingDelay;
    m_watchedMembers.prefix = MemberDirectory::KeyPrefix;
    m_watchedMembers.coalescingDelay = MemberCoalescingDelay;
}

void RegistryWatcher::start()
{
    list(m_watchedConfiguration, {});
    list(m_watchedEndpoints, {});
    list(m_watchedMembers, {});
}

void RegistryWatcher::reloadMembers()
{
    list(m_watchedMembers, {});
}

bool RegistryWatcher::isLoaded() const
{
    return m_routes.isLoaded() && m_watchedEndpoints.isLoaded;
}

// A call that is still under way is given up; its response will be ignored.
std::uint64_t RegistryWatcher::beginCall(WatchedPrefix &watched)
{
    const Instant at = now();
    if (watched.callSentAt) {
        logChange("registry-call-replaced", "prefix={} after={} age_ms={}", watched.prefix, watched.watchRevision, toMilliseconds(at - *watched.callSentAt));
    }
    watched.callSentAt = at;
    watched.isCatchingUp = isBehindPeers(watched);
    return ++watched.callNumber;
}

std::optional<Instant> RegistryWatcher::endpointsConfirmedAt() const
{
    return m_watchedEndpoints.confirmedAt;
}

void RegistryWatcher::list(WatchedPrefix &watched, const std::string &afterKey)
{
    const std::uint64_t callNumber = afterKey.empty() ? beginCall(watched) : watched.callNumber;
    if (afterKey.empty()) {
        watched.listedItems.clear();
        watched.listedForPeerVersion = watched.newestPeerVersion;
        watched.listRevision = 0;
        watched.listedAt = suspendAwareNow();
    }
    m_store.list(watched.prefix, afterKey, [this, &watched, callNumber](tl::expected<platform::StorePage, platform::StoreFailure> page) {
        if (callNumber != watched.callNumber) {
            return;
        }
        watched.callSentAt.reset();
        if (!page) {
            watched.watchRevision = 0;
            onFailure(watched, page.error());
            return;
        }
        onResponse(watched);
        onListPage(watched, *page);
    });
}

// The pages are not one snapshot, so the watch begins at the revision of the first page.
void RegistryWatcher::onListPage(WatchedPrefix &watched, const platform::StorePage &page)
{
    watched.listRevision = watched.listRevision == 0 ? page.revision : watched.listRevision;
    watched.listedItems.insert(watched.listedItems.end(), page.items.begin(), page.items.end());
    if (page.hasMore && !page.items.empty()) {
        list(watched, page.items.back().key);
        return;
    }
    const bool isFirst = !watched.isLoaded;
    const std::vector<platform::StoreItem> items = std::exchange(watched.listedItems, {});
    applyListing(watched, items, watched.listRevision, suspendAwareNow());
    confirmConfiguration(watched, watched.listedAt);
    const Milliseconds firstDelay = &watched == &m_watchedMembers ? FirstMemberWatchDelay : FirstWatchDelay;
    scheduleWatch(watched, isFirst ? firstDelay : Milliseconds(0));
}

void RegistryWatcher::applyListing(WatchedPrefix &watched, const std::vector<platform::StoreItem> &items, platform::Revision revision, Instant confirmedAt)
{
    const bool isFirst = !std::exchange(watched.isLoaded, true);
    watched.confirmedAt = confirmedAt;
    watched.watchRevision = revision;
    watched.newestRevision = std::max(watched.newestRevision, revision);
    logChange("listed", "prefix={} items={} revision={}", watched.prefix, items.size(), revision);
    m_feed.restart(watched.prefix, items, revision, confirmedAt);
    if (&watched == &m_watchedEndpoints) {
        m_replica.replaceEndpoints(items);
    } else if (&watched == &m_watchedConfiguration) {
        m_replica.replaceOperatorKeys(items);
    } else {
        m_replica.apply(items);
    }
    watched.appliedRevision = std::max(watched.appliedRevision, revision);
    if (isFirst) {
        watched.continuousRevision = revision;
    } else if (&watched == &m_watchedEndpoints) {
        readMissedEndpoints();
    }
    if (&watched == &m_watchedMembers) {
        m_members.setLoaded();
        m_hooks.onMembersRead(confirmedAt);
    }
}

void RegistryWatcher::advanceContinuity(WatchedPrefix &watched, platform::Revision after, platform::Revision revision)
{
    if (watched.continuousRevision >= after) {
        watched.continuousRevision = std::max(watched.continuousRevision, revision);
    }
}

// Whether an endpoint has come and gone: a reader passes on only the newest value of each key.
bool RegistryWatcher::hasUnknownRemoval(const std::vector<platform::StoreItem> &items) const
{
    return std::any_of(items.begin(), items.end(), [this](const platform::StoreItem &item) {
        const bool isEndpoint = item.key.rfind(platform::EndpointPrefix, 0) == 0;
        return isEndpoint && item.revision == 0 && !m_endpointDirectory.find(EndpointId(item.key.substr(std::string_view(platform::EndpointPrefix).size())));
    });
}

// A listing doesn't show either what has come and gone. A call that fails is made again with the next response.
void RegistryWatcher::readMissedEndpoints()
{
    WatchedPrefix &watched = m_watchedEndpoints;
    const platform::Revision after = watched.continuousRevision;
    if (after >= watched.appliedRevision || std::exchange(m_isReadingMissed, true)) {
        return;
    }
    m_store.watch(watched.prefix, after, Milliseconds(1), [this, &watched, after](const tl::expected<platform::StoreChanges, platform::StoreFailure> &changes) {
        m_isReadingMissed = false;
        if (!changes && changes.error().kind == platform::StoreFailure::Kind::Compacted) {
            logChange("endpoints-missed", "after={} revision={}", after, watched.appliedRevision);
            m_hooks.onEndpointsMissed();
            watched.continuousRevision = std::max(watched.continuousRevision, watched.appliedRevision);
        } else if (changes) {
            for (const platform::StoreItem &item : changes->items) {
                const auto entry = item.revision == 0 ? std::nullopt : platform::decodeEndpoint(item.key, item.data);
                if (entry) {
                    m_hooks.onEndpointRegistered(*entry);
                }
            }
            advanceContinuity(watched, after, changes->revision);
        }
    });
}

// Polls that wait here are answered, so that the instances that send them learn at once that the configuration is confirmed. A newer
// configuration that can't be read may have removed keys, so the one in force isn't confirmed while the store has such a one.
void RegistryWatcher::confirmConfiguration(const WatchedPrefix &watched, Instant sentAt)
{
    if (&watched != &m_watchedConfiguration || !m_replica.isConfigurationReadable()) {
        return;
    }
    m_configurationAge.confirm(sentAt);
    if (m_configurationAge.longestWait()) {
        m_feed.answerPolls(watched.prefix);
    }
}

Milliseconds RegistryWatcher::watchTimeout(const WatchedPrefix &watched)
{
    if (&watched == &m_watchedMembers) {
        return MemberWatchTimeout;
    }
    if (watched.isStoreUnavailable) {
        return StoreCheckWait;
    }
    if (const auto longestWait = m_configurationAge.longestWait(); longestWait && &watched == &m_watchedConfiguration) {
        return std::min(*longestWait, MinWatchTimeout);
    }
    const auto readers = static_cast<int>(m_readers.readerCount());
    // When a call has failed or this instance misses a change, the watch may have got lost as well.
    const bool mayBeLost = watched.consecutiveFailures > 0 || isBehindPeers(watched);
    const Milliseconds longest = mayBeLost ? MinWatchTimeout : std::clamp(WatchTimeoutPerReader * readers, MinWatchTimeout, MaxWatchTimeout);
    // Random timeouts spread the readers' watches over time, so that one of them notices a change sooner.
    const auto half = longest.count() / 2;
    return Milliseconds(half + static_cast<std::int64_t>(m_random()) % (half + 1));
}

void RegistryWatcher::watch(WatchedPrefix &watched)
{
    if (shouldList(watched)) {
        list(watched, {});
        return;
    }
    const auto reader = bypassesReader(watched) ? std::nullopt : m_readers.choose(now());
    if (reader) {
        pollReader(watched, *reader);
    } else {
        watchStore(watched);
    }
}

// Whether the next call goes to the store itself, although a reader could be asked.
bool RegistryWatcher::bypassesReader(WatchedPrefix &watched)
{
    const bool isCheckDue = &watched == &m_watchedConfiguration && watched.isStoreUnavailable && now() >= m_nextStoreCheckAt;
    if (isCheckDue) {
        m_nextStoreCheckAt = now() + StoreCheckInterval;
    }
    return std::exchange(watched.isReaderBypassed, false) || isCheckDue || isBehindPeers(watched);
}

void RegistryWatcher::pollReader(WatchedPrefix &watched, const MemberRecord &reader)
{
    const std::uint64_t callNumber = beginCall(watched);
    RegistryPoll poll;
    poll.prefix = watched.prefix;
    poll.after = watched.watchRevision;
    const Milliseconds wait = &watched == &m_watchedMembers ? MemberPollWait : std::min(PollWait, m_configurationAge.longestWait().value_or(PollWait));
    poll.wait = watched.hasReaderFailed ? Milliseconds(0) : wait;
    poll.isStoreUnavailable = watched.isStoreUnavailable;
    InternalRequest request;
    request.address = reader.peerAddress;
    request.method = "POST";
    request.target = RegistryFeed::PollPath;
    request.body = poll.encode();
    request.responseTimeout = poll.wait + PollTimeoutMargin;
    const Instant polledAt = suspendAwareNow();
    const auto onResponse = [this, &watched, reader, callNumber, polledAt](const std::optional<InternalResponse> &response) {
        if (callNumber == watched.callNumber) {
            watched.callSentAt.reset();
            onPollResponse(watched, reader, response, polledAt);
        }
    };
    sendInternalRequest(m_peers.context, m_peers.connections, std::move(request), onResponse);
}

void RegistryWatcher::onPollResponse(WatchedPrefix &watched, const MemberRecord &reader, const std::optional<InternalResponse> &response, Instant polledAt)
{
    constexpr int StatusOk = 200;
    const auto update = response && response->status == StatusOk ? RegistryUpdate::decode(response->body) : std::nullopt;
    const Milliseconds maxAge = &watched == &m_watchedMembers ? MaxMemberUpdateAge : MaxUpdateAge;
    const bool isOutdated = update && !update->isStoreUnavailable && update->age > maxAge;
    if (update && update->isFromReader && !isOutdated) {
        onUpdate(watched, reader, *update, polledAt);
        return;
    }
    logChange("reader-left", "prefix={} reader={} responded={}", watched.prefix, reader.id.value(), update.has_value());
    m_readers.onFailure(reader.id, now());
    watched.hasReaderFailed = true;
    watch(watched);
}

void RegistryWatcher::onUpdate(WatchedPrefix &watched, const MemberRecord &reader, const RegistryUpdate &update, Instant polledAt)
{
    watched.hasReaderFailed = false;
    if (update.isStoreUnavailable && !watched.isStoreUnavailable) {
        setStoreUnavailable(watched, "reported by " + reader.id.value());
    } else if (!update.isStoreUnavailable) {
        if (watched.isStoreUnavailable && &watched == &m_watchedConfiguration) {
            // Other parts of this instance know of the outage as well and wait for the store's first response.
            m_store.read(MemberDirectory::KeyPrefix + m_members.self().value(), [](const tl::expected<platform::StoreItem, platform::StoreFailure> &) {});
        }
        onResponse(watched);
        if (update.isListing) {
            applyListing(watched, update.items, update.revision, polledAt - update.age);
        } else {
            if (!hasUnknownRemoval(update.items)) {
                advanceContinuity(watched, watched.watchRevision, update.revision);
            }
            applyChanges(watched, {update.items, update.revision}, polledAt - update.age);
            readMissedEndpoints();
        }
        if (update.confirmationAge) {
            confirmConfiguration(watched, polledAt - *update.confirmationAge);
        }
    }
    watch(watched);
}

void RegistryWatcher::onPoll(const RegistryPoll &poll, RegistryFeed::UpdateHandler onUpdate)
{
    if (!m_readers.isReader()) {
        // The sender's member list differs from this instance's.
        onUpdate({});
        return;
    }
    const Instant arrivedAt = suspendAwareNow();
    m_feed.poll(poll, [this, arrivedAt, prefix = poll.prefix, onUpdate = std::move(onUpdate)](RegistryUpdate update) {
        const auto confirmedAt = m_configurationAge.confirmedAt();
        if (prefix == m_watchedConfiguration.prefix && confirmedAt) {
            update.confirmationAge = std::chrono::duration_cast<Milliseconds>(arrivedAt - *confirmedAt);
        }
        onUpdate(update);
    });
}

void RegistryWatcher::applyChanges(WatchedPrefix &watched, const platform::StoreChanges &changes, Instant confirmedAt)
{
    for (const platform::StoreItem &item : changes.items) {
        watched.newestRevision = std::max(watched.newestRevision, item.modRevision);
    }
    m_replica.apply(changes.items);
    watched.confirmedAt = confirmedAt;
    watched.watchRevision = std::max(watched.watchRevision, changes.revision);
    watched.appliedRevision = std::max(watched.appliedRevision, changes.revision);
    m_feed.append(watched.prefix, changes, confirmedAt);
    if (&watched == &m_watchedMembers) {
        m_hooks.onMembersRead(confirmedAt);
    }
}

// The answer to the same watch may be too large again, or too slow; a listing holds one value of each key. Other prefixes change in small
// steps, so there an interrupted watch is sent once more before.
bool RegistryWatcher::hasWatchFailed(const WatchedPrefix &watched) const
{
    constexpr int MaxFailedWatches = 2;
    return watched.consecutiveFailures >= (&watched == &m_watchedConfiguration ? 1 : MaxFailedWatches);
}

void RegistryWatcher::watchStore(WatchedPrefix &watched)
{
    if (hasWatchFailed(watched)) {
        list(watched, {});
        return;
    }
    const std::uint64_t callNumber = beginCall(watched);
    const Instant sentAt = suspendAwareNow();
    const platform::Revision after = watched.watchRevision;
    m_store.watch(watched.prefix,
                  after,
                  watchTimeout(watched),
                  [this, &watched, callNumber, sentAt, after](tl::expected<platform::StoreChanges, platform::StoreFailure> changes) {
                      if (callNumber != watched.callNumber) {
                          return;
                      }
                      watched.callSentAt.reset();
                      if (!changes) {
                          onFailure(watched, changes.error());
                          return;
                      }
                      if (watched.isStoreUnavailable) {
                          bypassUnavailableReader();
                      }
                      onResponse(watched);
                      advanceContinuity(watched, after, changes->revision);
                      applyChanges(watched, *changes, suspendAwareNow());
                      readMissedEndpoints();
                      confirmConfiguration(watched, sentAt);
                      scheduleWatch(watched, changes->items.empty() ? Milliseconds(0) : watched.coalescingDelay);
                  });
}

// The store responds to this instance, but the reader may have reported that it doesn't.
void RegistryWatcher::bypassUnavailableReader()
{
    const auto reader = m_readers.choose(now());
    if (!reader) {
        return;
    }
    m_readers.onFailure(reader->id, now());
    m_watchedEndpoints.isReaderBypassed = true;
    m_watchedMembers.isReaderBypassed = true;
}

void RegistryWatcher::scheduleWatch(WatchedPrefix &watched, Milliseconds delay)
{
    if (delay.count() == 0) {
        watch(watched);
        return;
    }
    const std::uint64_t callNumber = watched.callNumber;
    m_timers.at(now() + delay, [this, &watched, callNumber](Instant) {
        if (callNumber == watched.callNumber) {
            watch(watched);
        }
    });
}

platform::Revision RegistryWatcher::endpointsRevision() const
{
    return m_watchedEndpoints.continuousRevision;
}

MemberListRevision RegistryWatcher::memberListRevision() const
{
    return MemberListRevision(m_watchedMembers.appliedRevision);
}

RegistryVersions RegistryWatcher::seenVersions() const
{
    return {m_routes.configuration().version, m_watchedEndpoints.newestRevision};
}

void RegistryWatcher::onPeerVersions(const RegistryVersions &versions)
{
    if (!isLoaded()) {
        return;
    }
    if (versions.configuration > m_routes.configuration().version) {
        checkPeerVersion(m_watchedConfiguration, versions.configuration.value());
    }
    if (versions.endpoints > m_watchedEndpoints.newestRevision) {
        checkPeerVersion(m_watchedEndpoints, versions.endpoints);
    }
}

// Each version is checked once, and after a delay, because this instance's own watch usually reports it shortly. From then on
// watches are short until the version has been seen.
void RegistryWatcher::checkPeerVersion(WatchedPrefix &watched, std::uint64_t version)
{
    if (version <= watched.newestPeerVersion) {
        return;
    }
    watched.newestPeerVersion = version;
    scheduleCatchUp(watched, version, PeerVersionDelay);
}

void RegistryWatcher::scheduleCatchUp(WatchedPrefix &watched, std::uint64_t version, Milliseconds delay)
{
    m_timers.at(now() + delay, [this, &watched, version](Instant) { catchUp(watched, version); });
}

// Only the newest report needs to be followed up; the answer that it leads to covers the earlier ones.
void RegistryWatcher::catchUp(WatchedPrefix &watched, std::uint64_t version)
{
    if (!isBehindPeers(watched) || watched.isStoreUnavailable) {
        return;
    }
    if (!isCatchUpUnderWay(watched)) {
        logChange("peer-ahead", "prefix={} peer={}", watched.prefix, version);
        watch(watched);
    } else if (version == watched.newestPeerVersion) {
        scheduleCatchUp(watched, version, MaxCatchUpTime);
    }
}

bool RegistryWatcher::isCatchUpUnderWay(const WatchedPrefix &watched) const
{
    return watched.isCatchingUp && watched.callSentAt && now() - *watched.callSentAt < MaxCatchUpTime;
}

// Of the configuration only the newest version counts, and a watch brings all those in between as well. Once for each report of a peer,
// since one that the store doesn't have can't be caught up with.
bool RegistryWatcher::shouldList(const WatchedPrefix &watched) const
{
    return &watched == &m_watchedConfiguration && isBehindPeers(watched) && watched.listedForPeerVersion != watched.newestPeerVersion;
}

// Peers report the configuration by its own version, which is not a revision of the store.
bool RegistryWatcher::isBehindPeers(const WatchedPrefix &watched) const
{
    if (&watched == &m_watchedConfiguration) {
        return watched.newestPeerVersion > m_routes.configuration().version.value();
    }
    return watched.newestPeerVersion > std::max(watched.newestRevision, watched.watchRevision);
}

void RegistryWatcher::onFailure(WatchedPrefix &watched, const platform::StoreFailure &failure)
{
    if (failure.kind == platform::StoreFailure::Kind::Compacted) {
        logChange("watch-history-dropped", "prefix={} after={}", watched.prefix, watched.watchRevision);
        list(watched, {});
        return;
    }
    if (watched.isLoaded && ++watched.consecutiveFailures == 1) {
        // A blocked watch may be interrupted at any time; the next one shows whether the store is unavailable.
        retry(watched);
        return;
    }
    if (!watched.isStoreUnavailable) {
        setStoreUnavailable(watched, failure.detail);
    }
    const std::uint64_t callNumber = watched.callNumber;
    m_timers.at(now() + (&watched == &m_watchedMembers && watched.isLoaded ? MemberRetryDelay : RetryDelay), [this, &watched, callNumber](Instant) {
        if (callNumber == watched.callNumber) {
            retry(watched);
        }
    });
}

void RegistryWatcher::setStoreUnavailable(WatchedPrefix &watched, const std::string &reason)
{
    watched.isStoreUnavailable = true;
    if (&watched == &m_watchedConfiguration) {
        // Spread over time, since all instances notice an outage at the same moment.
        const auto spread = static_cast<std::int64_t>(m_random()) % StoreCheckInterval.count();
        m_nextStoreCheckAt = now() + StoreCheckInterval / 2 + Milliseconds(spread);
    }
    logChange("store-lost", "prefix={} reason=\"{}\"", watched.prefix, reason);
    m_feed.setStoreUnavailable(watched.prefix, true);
    if (&watched == &m_watchedEndpoints) {
        m_endpointDirectory.onStoreUnreachable();
    }
}

void RegistryWatcher::retry(WatchedPrefix &watched)
{
    if (watched.isLoaded && watched.watchRevision != 0) {
        watch(watched);
    } else {
        list(watched, {});
    }
}

void RegistryWatcher::onResponse(WatchedPrefix &watched)
{
    watched.consecutiveFailures = 0;
    if (!watched.isStoreUnavailable) {
        return;
    }
    watched.isStoreUnavailable = false;
    logChange("store-regained", "prefix={}", watched.prefix);
    m_feed.setStoreUnavailable(watched.prefix, false);
    if (&watched == &m_watchedEndpoints) {
        m_endpointDirectory.onStoreReachable(now());
        m_timers.at(now() + EndpointDirectory::ReregistrationTime + Milliseconds(1), [this](Instant at) {
            if (m_endpointDirectory.removeExpired(at)) {
                m_hooks.onEndpointsChanged();
            }
        });
    }
}

void RegistryWatcher::onMembersChanged()
{
    const bool wasReader = m_readers.isReader();
    m_readers.refresh();
    if (m_readers.isReader() != wasReader) {
        logChange("registry-role", "is_reader={} readers={}", m_readers.isReader(), m_readers.readerCount());
    }
    m_hooks.onMembersChanged();
}

} // namespace flamingo
