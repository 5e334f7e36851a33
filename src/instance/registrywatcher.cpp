#include "instance/registrywatcher.h"

#include "core/digest.h"
#include "core/log.h"

#include <algorithm>

namespace flamingo
{

namespace
{
/// A store that drops history may leave a waiting watch without what has changed, so each is asked again before an older
/// configuration or a leaving endpoint would be used for too long. The more instances there are, the longer each waits:
/// the first one that is answered tells the others.
constexpr Milliseconds LeastWatchTime{2000};
constexpr Milliseconds WatchTimePerInstance{125};
constexpr Milliseconds MostWatchTime{12000};
/// Instances that come or go are also noticed by the calls to them, so their list may be behind.
constexpr Milliseconds InstanceWatchTime{10000};
constexpr Milliseconds OperatorPause{50};
constexpr Milliseconds EndpointPause{150};
constexpr Milliseconds InstancePause{1500};
/// What another instance has seen reaches this one by its own watch within this time when all is well.
constexpr Milliseconds ToldPatience{200};
constexpr Milliseconds RetryDelay{300};
/// The list of instances can wait until the other two are there again.
constexpr Milliseconds InstanceRetryDelay{2000};

/// Beyond this many changes that come together, as at a start, one line tells of all.
constexpr std::size_t MaxLoggedItems = 24;

Instant now()
{
    return std::chrono::steady_clock::now();
}
} // namespace

RegistryFeed::RegistryFeed(platform::PlatformStore &store,
                           TimerService &timers,
                           RouteTable &routes,
                           EndpointDirectory &directory,
                           MemberDirectory &fleet,
                           Hooks hooks)
    : m_store(store)
    , m_timers(timers)
    , m_routes(routes)
    , m_directory(directory)
    , m_fleet(fleet)
    , m_hooks(std::move(hooks))
    , m_random(static_cast<unsigned>(stableHash(fleet.self().value())))
{
    m_operator.prefix = platform::OperatorPrefix;
    m_operator.pause = OperatorPause;
    m_endpoints.prefix = platform::EndpointPrefix;
    m_endpoints.pause = EndpointPause;
    m_instances.prefix = MemberDirectory::KeyPrefix;
    m_instances.pause = InstancePause;
}

void RegistryFeed::start()
{
    list(m_operator, {});
    list(m_endpoints, {});
    list(m_instances, {});
}

void RegistryFeed::readFleet()
{
    list(m_instances, {});
}

bool RegistryFeed::isLoaded() const
{
    return m_routes.isLoaded() && m_endpoints.isLoaded;
}

void RegistryFeed::list(Feed &feed, const std::string &afterKey)
{
    const std::uint64_t call = afterKey.empty() ? ++feed.call : feed.call;
    if (afterKey.empty()) {
        feed.listed.clear();
        feed.listedAt = 0;
    }
    m_store.list(feed.prefix, afterKey, [this, &feed, call](tl::expected<platform::StorePage, platform::StoreFailure> page) {
        if (call != feed.call) {
            return;
        }
        if (!page) {
            feed.after = 0;
            onFailure(feed, page.error());
            return;
        }
        onAnswer(feed);
        onPage(feed, *page);
    });
}

// Pages are no snapshot, so the watch begins where the first page was read.
void RegistryFeed::onPage(Feed &feed, const platform::StorePage &page)
{
    feed.listedAt = feed.listedAt == 0 ? page.at : feed.listedAt;
    feed.listed.insert(feed.listed.end(), page.items.begin(), page.items.end());
    if (page.hasMore && !page.items.empty()) {
        list(feed, page.items.back().key);
        return;
    }
    feed.after = feed.listedAt;
    feed.newest = std::max(feed.newest, feed.listedAt);
    applyListing(feed);
    feed.listed.clear();
    feed.isLoaded = true;
    if (&feed == &m_instances) {
        m_fleet.setLoaded();
        m_hooks.onFleetRead();
    }
    watch(feed);
}

void RegistryFeed::applyListing(const Feed &feed)
{
    logChange("listed", "prefix={} items={} revision={}", feed.prefix, feed.listed.size(), feed.after);
    if (&feed != &m_endpoints) {
        applyAll(feed.listed);
        return;
    }
    std::vector<EndpointEntry> entries;
    for (const platform::StoreItem &item : feed.listed) {
        if (auto entry = platform::decodeEndpoint(item.key, item.data)) {
            entries.push_back(std::move(*entry));
        }
    }
    if (m_directory.replaceAll(entries, now())) {
        m_hooks.onEndpoints();
    }
}

Milliseconds RegistryFeed::waitTime(const Feed &feed)
{
    if (&feed == &m_instances) {
        return InstanceWatchTime;
    }
    const auto instances = static_cast<int>(m_fleet.otherInstances().size()) + 1;
    const Milliseconds longest = std::clamp(WatchTimePerInstance * instances, LeastWatchTime, MostWatchTime);
    // Instances that ask at different times notice sooner that there is something new.
    const auto half = longest.count() / 2;
    return Milliseconds(half + static_cast<std::int64_t>(m_random()) % (half + 1));
}

void RegistryFeed::watch(Feed &feed)
{
    const std::uint64_t call = ++feed.call;
    m_store.watch(feed.prefix, feed.after, waitTime(feed), [this, &feed, call](tl::expected<platform::StoreChanges, platform::StoreFailure> changes) {
        if (call != feed.call) {
            return;
        }
        if (!changes) {
            onFailure(feed, changes.error());
            return;
        }
        onAnswer(feed);
        for (const platform::StoreItem &item : changes->items) {
            feed.newest = std::max(feed.newest, item.changedAt);
        }
        applyAll(changes->items);
        feed.after = std::max(feed.after, changes->at);
        if (&feed == &m_instances) {
            m_hooks.onFleetRead();
        }
        watchLater(feed, changes->items.empty() ? Milliseconds(0) : feed.pause);
    });
}

void RegistryFeed::watchLater(Feed &feed, Milliseconds after)
{
    if (after.count() == 0) {
        watch(feed);
        return;
    }
    const std::uint64_t call = feed.call;
    m_timers.at(now() + after, [this, &feed, call](Instant) {
        if (call == feed.call) {
            watch(feed);
        }
    });
}

RegistryVersions RegistryFeed::versions() const
{
    return {m_routes.configuration().version, m_endpoints.newest};
}

void RegistryFeed::onTold(const RegistryVersions &versions)
{
    if (!isLoaded()) {
        return;
    }
    if (versions.configuration > m_routes.configuration().version) {
        checkTold(m_operator, versions.configuration.value());
    }
    if (versions.endpoints > m_endpoints.newest) {
        checkTold(m_endpoints, versions.endpoints);
    }
}

// The same news is looked for once. Mostly this instance's own watch brings it within moments.
void RegistryFeed::checkTold(Feed &feed, platform::Revision told)
{
    if (told <= feed.told) {
        return;
    }
    feed.told = told;
    m_timers.at(now() + ToldPatience, [this, &feed, told](Instant) {
        const platform::Revision seen = &feed == &m_operator ? m_routes.configuration().version.value() : feed.newest;
        if (seen < told && !feed.isAway) {
            logChange("told-of-news", "prefix={} seen={} told={}", feed.prefix, seen, told);
            watch(feed);
        }
    });
}

void RegistryFeed::onFailure(Feed &feed, const platform::StoreFailure &failure)
{
    if (failure.kind == platform::StoreFailure::Kind::HistoryGone) {
        logChange("history-gone", "prefix={} after={}", feed.prefix, feed.after);
        list(feed, {});
        return;
    }
    if (feed.isLoaded && ++feed.failuresInRow == 1) {
        // A waiting watch may be cut at any time; the next one shows whether the store is away.
        retry(feed);
        return;
    }
    if (!feed.isAway) {
        feed.isAway = true;
        logChange("store-lost", "prefix={} reason=\"{}\"", feed.prefix, failure.detail);
        if (&feed == &m_endpoints) {
            m_directory.onStoreUnreachable();
        }
    }
    const std::uint64_t call = feed.call;
    m_timers.at(now() + (&feed == &m_instances && feed.isLoaded ? InstanceRetryDelay : RetryDelay), [this, &feed, call](Instant) {
        if (call == feed.call) {
            retry(feed);
        }
    });
}

void RegistryFeed::retry(Feed &feed)
{
    if (feed.isLoaded && feed.after != 0) {
        watch(feed);
    } else {
        list(feed, {});
    }
}

void RegistryFeed::onAnswer(Feed &feed)
{
    feed.failuresInRow = 0;
    if (!feed.isAway) {
        return;
    }
    feed.isAway = false;
    logChange("store-regained", "prefix={}", feed.prefix);
    if (&feed == &m_endpoints) {
        m_directory.onStoreReachable(now());
        m_timers.at(now() + EndpointDirectory::ReregistrationTime + Milliseconds(1), [this](Instant at) {
            if (m_directory.removeExpired(at)) {
                m_hooks.onEndpoints();
            }
        });
    }
}

// What follows from a change grows with all endpoints or instances, so it is done once for changes that come together.
void RegistryFeed::applyAll(const std::vector<platform::StoreItem> &items)
{
    const bool areLogged = items.size() <= MaxLoggedItems;
    bool haveEndpointsChanged = false;
    bool hasFleetChanged = false;
    for (const platform::StoreItem &item : items) {
        if (item.key == platform::ConfigurationKey) {
            applyConfiguration(item.data);
        } else if (item.key.rfind(MemberDirectory::KeyPrefix, 0) == 0) {
            applyInstance(item, areLogged);
            hasFleetChanged = true;
        } else if (item.key.rfind(platform::EndpointPrefix, 0) == 0) {
            haveEndpointsChanged = applyEndpoint(item, areLogged) || haveEndpointsChanged;
        }
    }
    if (!areLogged) {
        logChange("many-changed", "first={} items={}", items.front().key, items.size());
    }
    if (haveEndpointsChanged) {
        m_hooks.onEndpoints();
    }
    if (hasFleetChanged) {
        m_hooks.onFleet();
    }
}

bool RegistryFeed::applyEndpoint(const platform::StoreItem &item, bool isLogged)
{
    const EndpointId id(item.key.substr(std::string_view(platform::EndpointPrefix).size()));
    const auto entry = item.revision == 0 ? std::nullopt : platform::decodeEndpoint(item.key, item.data);
    const bool isChange = entry ? m_directory.put(*entry) : m_directory.remove(id, now());
    if (isChange && isLogged) {
        logChange("endpoint-changed", "endpoint={} state={} revision={}", id.value(), entry ? (entry->isLeaving ? "leaving" : "ready") : "gone", item.revision);
    }
    return isChange;
}

void RegistryFeed::applyInstance(const platform::StoreItem &item, bool isLogged)
{
    const InstanceId id(item.key.substr(std::string_view(MemberDirectory::KeyPrefix).size()));
    const auto member = item.revision == 0 ? std::nullopt : MemberRecord::decode(id, item.data);
    if (member) {
        m_fleet.put(*member);
    } else {
        m_fleet.remove(id, now());
    }
    if (isLogged) {
        const char *state = !member ? "absent" : member->isPresumedDead ? "gone" : "present";
        logChange("instance-changed", "id={} state={} revision={}", id.value(), state, item.revision);
    }
}

void RegistryFeed::applyConfiguration(const std::string &bytes)
{
    auto configuration = platform::decodeConfiguration(bytes);
    if (!configuration) {
        return;
    }
    const ConfigurationVersion version = configuration->version;
    if (m_routes.install(std::move(*configuration))) {
        logChange("configuration-in-force", "version={} routes={}", version.value(), m_routes.configuration().routes.size());
    }
}

} // namespace flamingo
