#include "instance/instancedaemon.h"

#include "core/commandline.h"
#include "core/digest.h"
#include "core/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <unistd.h>

namespace flamingo
{

namespace
{
constexpr Milliseconds DrainCheckPeriod{50};
constexpr Milliseconds HousekeepingPeriod{5000};
constexpr Milliseconds DispatchPeriod{40};
constexpr Milliseconds GrantMarkPeriod{250};
/// A prompt that has not been continued for this long is assumed to be evicted from the endpoint's cache.
constexpr Milliseconds CachedPrefixLifetime{30000};
/// The turn cache may take up one part in this many of the process's memory limit.
constexpr std::size_t TurnCacheMemoryDivisor = 5;
constexpr std::size_t MaxTurnCacheBytes = std::size_t(24) * 1024 * 1024;
/// Responses in progress may take up one part in this many of the process's memory limit. Buffers that grow may take up twice
/// their contents.
constexpr std::size_t ResponseMemoryDivisor = 8;
constexpr std::size_t MaxResponseBufferBytes = std::size_t(128) * 1024 * 1024;
/// What is held for callers, responses in progress included, may take up one part in this many of the process's memory limit. The
/// rest is for the turn cache, the process itself and buffers that are copied as they grow.
constexpr std::size_t CallerMemoryDivisor = 3;
constexpr std::size_t MaxCallerMemoryBytes = std::size_t(256) * 1024 * 1024;
/// Responses of other instances, and of archives, may each take up one part in this many of the process's memory limit.
constexpr std::size_t PeerResponseMemoryDivisor = 8;
constexpr std::size_t MaxPeerResponseBytes = std::size_t(64) * 1024 * 1024;
constexpr std::size_t MaxIdleConnectionsPerEndpoint = 6;
constexpr Milliseconds EndpointAckTimeout{1200};
constexpr std::size_t MaxStoreFallbacks = 3;
constexpr std::size_t MaxIdleConnectionsPerPeer = 4;
constexpr Milliseconds PeerAckTimeout{800};
constexpr std::size_t MinReadersPerDomain = 3;
/// Bodies of requests that are forwarded for other instances may take up one part in this many of the process's memory limit.
constexpr std::size_t ForwardedMemoryDivisor = 16;
constexpr std::size_t MaxForwardedBytes = std::size_t(32) * 1024 * 1024;
/// The head of a forwarded request has fields beside those of its caller.
constexpr std::size_t MaxPeerHeadBytes = std::size_t(64) * 1024;

/// One part of the process's memory limit, at most maxBytes.
std::size_t memoryShare(const platform::BootSettings &settings, std::size_t divisor, std::size_t maxBytes)
{
    return settings.memoryBytes == 0 ? maxBytes : std::min(maxBytes, settings.memoryBytes / divisor);
}

ConnectionLimits peerLimits()
{
    ConnectionLimits limits;
    limits.maxHeadBytes = MaxPeerHeadBytes;
    return limits;
}

PolicyRules policyRules()
{
    PolicyRules rules;
    rules.hedgesCalls = false;
    rules.movesStreams = false;
    return rules;
}

asio::ip::tcp::endpoint toTcpEndpoint(const SocketAddress &address)
{
    return {asio::ip::make_address(address.host), address.port};
}
} // namespace

InstanceDaemon::InstanceDaemon(platform::BootSettings settings)
    : m_settings(std::move(settings))
    , m_settingsFile(m_settings.path)
    , m_incarnation(newIncarnationId(m_settings.instance))
    , m_callerMemory(memoryShare(m_settings, CallerMemoryDivisor, MaxCallerMemoryBytes))
    , m_responseBuffers(memoryShare(m_settings, ResponseMemoryDivisor, MaxResponseBufferBytes), m_callerMemory)
    , m_store(m_loop.context(), m_settings.storeAddress, m_metrics)
    , m_budgetStore(m_store)
    , m_turnStore(m_store, m_incarnation, m_settings.storeValueBytes)
    , m_members(m_settings.instance, m_settings.domain)
    , m_configurationAge(m_settings.revocationBound)
    , m_dispatchQueue(policyRules(), m_settings.domain, m_endpointDirectory)
    , m_provisionalGrantPolicy(m_members, suspendAwareNow())
    , m_registration(ownMemberRecord(), m_store, m_loop.timers(), m_members, m_provisionalGrantPolicy, registrationHooks())
    , m_peerConnections(m_loop.context(), {MaxIdleConnectionsPerPeer, PeerAckTimeout, memoryShare(m_settings, PeerResponseMemoryDivisor, MaxPeerResponseBytes)})
    , m_quotas(
          {m_loop.context(), m_loop.timers(), m_members, m_peerConnections},
          m_incarnation,
          m_settings.quota,
          m_routes,
          [this](const WorkspaceId &id) { return quotaOf(id); },
          m_metrics)
    , m_witnesses(m_loop.context(), m_members, m_peerConnections, m_incarnation, m_metrics)
    , m_budgets(m_incarnation,
                m_budgetStore,
                {[this](const IncarnationId &incarnation) { return m_members.reachableInstance(incarnation, std::chrono::steady_clock::now()).has_value(); },
                 [this](const ProgramId &program) { return m_provisionalGrantPolicy.mayGrant(program, suspendAwareNow()); },
                 [this](const ProgramId &program) { return m_provisionalGrantPolicy.isSoleGranter(program, suspendAwareNow()); },
                 [this] { return m_store.hasRecentFailure(); },
                 [this](const ProgramId &program) { return m_provisionalGrantPolicy.excludesUnrecordedGrants(program, suspendAwareNow()); },
                 [this](const IncarnationId &incarnation) { return m_members.mayBeAlive(incarnation); },
                 [this] { return m_grantMarks.mayGrant(suspendAwareNow()); },
                 [this](std::function<void(bool)> onMarked) { m_grantMarks.storeMark(suspendAwareNow(), std::move(onMarked)); },
                 [this](const ProgramId &program) { m_grantSurveyor.onReserveNeeded(program); }},
                &m_witnesses)
    , m_archiveConnections(m_loop.context(),
                           {MaxIdleConnectionsPerPeer, PeerAckTimeout, memoryShare(m_settings, PeerResponseMemoryDivisor, MaxPeerResponseBytes)})
    , m_replicatedTurnStore(m_loop.context(), m_members, m_archiveConnections, m_store, m_turnStore, m_settings.toleratedMachineFailures)
    , m_grantMarks(m_incarnation, m_replicatedTurnStore, grantMarkHooks(), suspendAwareNow())
    , m_turnCache(m_replicatedTurnStore, memoryShare(m_settings, TurnCacheMemoryDivisor, MaxTurnCacheBytes))
    , m_endpointConnections(m_loop.context(), {MaxIdleConnectionsPerEndpoint, EndpointAckTimeout})
    , m_endpointMonitor(m_loop.context(), m_loop.timers(), m_endpointReachability, m_endpointDirectory, m_members, m_peerConnections, endpointMonitorHooks())
    , m_endpointSender(m_loop.context(), m_endpointConnections, m_peerConnections, m_members, m_endpointMonitor, m_metrics)
    , m_requestForwarder(m_endpointConnections,
                         m_endpointDirectory,
                         m_metrics,
                         memoryShare(m_settings, ForwardedMemoryDivisor, MaxForwardedBytes),
                         [this] { return mayForward(); })
    , m_homeService(m_budgets, m_turnCache, m_settings.instance)
    , m_homeClient(m_loop.context(),
                   m_members,
                   m_homeService,
                   m_peerConnections,
                   {[this] { return m_registryWatcher.seenVersions(); },
                    [this](const RegistryVersions &it) { m_registryWatcher.onPeerVersions(it); },
                    [this](const InstanceId &it) { m_isolationDetector.onPeerResponse(it); }})
    , m_registryWatcher(m_store,
                        {m_loop.context(), m_peerConnections, std::max(MinReadersPerDomain, m_settings.toleratedMachineFailures + 1)},
                        m_loop.timers(),
                        m_routes,
                        m_endpointDirectory,
                        m_members,
                        m_configurationAge,
                        {[this] { onEndpointsChanged(); },
                         [this](const EndpointEntry &it) { m_streamOrigins.addEndpoint(it); },
                         [this] { m_streamOrigins.onEndpointsMissed(); },
                         [this] { onMembersChanged(); },
                         [this](Instant confirmedAt) {
                             m_provisionalGrantPolicy.onListRead(confirmedAt);
                             m_quotas.onMembersRead(confirmedAt);
                         }})
    , m_versionConfirmer(m_loop.context(), m_store)
    , m_streamOrigins(m_loop.context(),
                      m_members,
                      m_peerConnections,
                      m_versionConfirmer,
                      {[this] { return m_registryWatcher.endpointsConfirmedAt(); }, [this] { return m_registryWatcher.endpointsRevision(); }},
                      m_metrics)
    , m_markSurveyor(m_loop.context(), m_store, m_members, m_archiveConnections, m_replicatedTurnStore, m_incarnation, markSurveyHooks())
    , m_grantSurveyor(m_loop.context(), m_loop.timers(), m_members, m_peerConnections, m_markSurveyor, m_provisionalGrantPolicy, m_budgets)
    , m_peerApi(m_store, m_homeService, m_registryWatcher, m_grantSurveyor, m_witnesses, m_quotas, m_streamOrigins, m_endpointMonitor, m_requestForwarder)
    , m_isolationDetector(m_loop.context(),
                          m_loop.timers(),
                          m_members,
                          m_peerConnections,
                          {[this] { return m_store.lastDirectResponseAt(); }, [this] { probeStore(); }},
                          {[this] { return m_registryWatcher.seenVersions(); }, [this](const RegistryVersions &it) { m_registryWatcher.onPeerVersions(it); }},
                          {[this](bool isIsolated) { onIsolationChanged(isIsolated); },
                           [this](const std::set<DomainId> &unreachable) { m_dispatchQueue.setUnreachableDomains(unreachable); }})
    , m_admission(m_routes, m_drainSchedule, m_configurationAge)
    , m_proxyContext{m_loop.timers(),
                     m_admission,
                     m_quotas,
                     m_routes,
                     m_endpointDirectory,
                     m_dispatchQueue,
                     m_endpointSender,
                     m_homeClient,
                     m_streamOrigins,
                     m_replicatedTurnStore,
                     m_responseBuffers,
                     m_isolationDetector,
                     m_metrics}
    , m_signals(m_loop.context(), SIGTERM, SIGINT, SIGHUP)
    , m_garbageCollector(m_store, {})
{
    refreshStoreFallbacks();
}

MemberRecord InstanceDaemon::ownMemberRecord() const
{
    return {m_settings.instance, m_settings.domain, m_settings.peerAddress.value_or(SocketAddress()), m_incarnation};
}

InstanceRegistration::Hooks InstanceDaemon::registrationHooks()
{
    return {[this] { return m_grantMarks.history(); },
            [this](GrantHistory history, bool hasEnded) { onEarlierIncarnation(std::move(history), hasEnded); },
            [this] { m_quotas.setRegistering(); },
            [this](bool isNewMachine, const std::optional<MemberRecord> &earlier) { onRegistered(isNewMachine, earlier); }};
}

// The first-start setting may still be set on a restart, but then the store knows this machine.
void InstanceDaemon::onRegistered(bool isNewMachine, const std::optional<MemberRecord> &earlier)
{
    m_quotas.setRegistered(isNewMachine, earlier);
    if (isNewMachine && m_settings.isBootstrap) {
        m_streamOrigins.setFirstStart();
    }
}

std::optional<QuotaLimit> InstanceDaemon::quotaOf(const WorkspaceId &id) const
{
    const Workspace *workspace = m_routes.workspaces().findById(id);
    return workspace ? std::optional<QuotaLimit>({m_routes.configuration().version, workspace->requestsPerSecond, workspace->burst}) : std::nullopt;
}

GrantMarks::Hooks InstanceDaemon::grantMarkHooks()
{
    return {[this] { return m_members.isLoaded() && !m_replicatedTurnStore.hasEnoughArchives(); },
            [this](std::function<void(std::optional<MemberListRevision>)> onWritten) { writeGrantHistory(std::move(onWritten)); },
            [this] { m_provisionalGrantPolicy.setEarlierGrantsExcluded(); },
            [this] { return m_registryWatcher.memberListRevision(); },
            [this] { m_registryWatcher.reloadMembers(); }};
}

MarkSurveyor::Hooks InstanceDaemon::markSurveyHooks()
{
    return {[this] { return m_registration.listedRevision(); },
            [this](const InstanceId &instance, const GrantFenceId &fence) {
                m_provisionalGrantPolicy.survey().onNoMarks(instance);
                if (!fence.value().empty()) {
                    m_provisionalGrantPolicy.survey().onFenced(instance, fence);
                }
            }};
}

// One that may still run makes no more grants once its member list, which lacks this incarnation, is too old.
void InstanceDaemon::onEarlierIncarnation(GrantHistory history, bool hasEnded)
{
    const Instant now = suspendAwareNow();
    m_grantMarks.setHistory(std::move(history), hasEnded ? now : now + MemberDirectory::MaxListAge);
}

void InstanceDaemon::writeGrantHistory(std::function<void(std::optional<MemberListRevision>)> onWritten)
{
    if (m_registration.isDeregistrationRequested()) {
        onWritten(std::nullopt);
        return;
    }
    m_registration.sendHeartbeat(std::move(onWritten));
}

// Chooses the instances that relay calls to the store: the seed peers of the settings until the member list is known.
void InstanceDaemon::refreshStoreFallbacks()
{
    std::vector<platform::StoreAddress> fallbacks;
    for (const MemberRecord &member : m_members.otherInstances()) {
        fallbacks.push_back({member.peerAddress, PeerApi::StorePathPrefix});
    }
    if (fallbacks.empty()) {
        for (const SocketAddress &seed : m_settings.seedPeers) {
            if (seed.host != m_settings.ip) {
                fallbacks.push_back({seed, PeerApi::StorePathPrefix});
            }
        }
    }
    if (fallbacks.size() > MaxStoreFallbacks) {
        // Rotates the list by a hash of the instance's id, so that the instances don't all use the same relays.
        const auto shift = stableHash(m_settings.instance.value()) % fallbacks.size();
        std::rotate(fallbacks.begin(), fallbacks.begin() + static_cast<std::ptrdiff_t>(shift), fallbacks.end());
        fallbacks.resize(MaxStoreFallbacks);
    }
    m_store.setRelays(std::move(fallbacks));
}

void InstanceDaemon::onEndpointsChanged()
{
    m_streamOrigins.updateEndpoints(m_endpointDirectory.all());
    m_dispatchQueue.refreshEndpoints();
}

void InstanceDaemon::onMembersChanged()
{
    refreshStoreFallbacks();
    m_dispatchQueue.setInstances(m_members.otherInstances().size() + 1, m_settings.instance);
    m_quotas.onMembersChanged();
    m_registration.onMembersChanged();
}

void InstanceDaemon::onHeartbeatTimer()
{
    if (m_registration.isDeregistrationRequested()) {
        return;
    }
    m_registration.sendHeartbeat();
    const auto homes = m_members.rankedHomes(ProgramId(LivenessTracker::HeartbeatPrefix), std::chrono::steady_clock::now());
    if (homes.front() == m_settings.instance) {
        m_garbageCollector.collect(suspendAwareNow(), m_routes.longestRetention());
    }
}

// The first-start setting may still be set on a restart, but then the store already holds budgets.
void InstanceDaemon::checkFirstStart()
{
    if (!m_settings.isBootstrap) {
        return;
    }
    m_budgetStore.checkEmpty([this](bool isEmpty) {
        if (!isEmpty) {
            return;
        }
        m_provisionalGrantPolicy.setFirstStart();
        m_quotas.setFirstStart();
        m_loop.timers().at(std::chrono::steady_clock::now() + ProvisionalGrantPolicy::DiscoveryTime, [this](Instant) { m_registryWatcher.reloadMembers(); });
    });
}

// Reads this instance's member entry because it is small; only whether the store responds matters.
void InstanceDaemon::probeStore()
{
    m_store.read(MemberDirectory::KeyPrefix + m_settings.instance.value(), [](const tl::expected<platform::StoreItem, platform::StoreFailure> &) {});
}

int InstanceDaemon::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    listen();
    awaitSignals();
    m_registration.start();
    checkFirstStart();
    m_registryWatcher.start();
    m_isolationDetector.start();
    m_grantSurveyor.start();
    m_endpointMonitor.start();
    const Instant now = std::chrono::steady_clock::now();
    m_loop.timers().every(now, DispatchPeriod, [this](Instant) { m_dispatchQueue.onTimer(); });
    m_loop.timers().every(
        now, GrantMarkPeriod, [this](Instant) { m_grantMarks.onTimer(m_budgets.hasProvisionalGrants(), m_store.hasRecentFailure(), suspendAwareNow()); });
    m_loop.timers().every(now, HousekeepingPeriod, [this](Instant at) {
        reloadSettings();
        if (m_endpointDirectory.removeExpired(at)) {
            m_dispatchQueue.refreshEndpoints();
        }
        m_budgets.removeIdle(ProgramIdleTimeout, at);
        m_budgets.recordProvisionalGrants();
        m_witnesses.removeIdle(at);
        m_quotas.removeIdle();
        m_turnStore.removeExpired(at);
        m_homeService.expireCachedPrefixes(CachedPrefixLifetime, at);
        logSummary();
    });
    m_loop.timers().every(now, LivenessTracker::HeartbeatPeriod, [this](Instant) { onHeartbeatTimer(); });
    logChange("started", "instance={} domain={} version={}", m_settings.instance.value(), m_settings.domain.value(), FLAMINGO_VERSION);
    m_loop.run();
    logChange("stopped", "instance={}", m_settings.instance.value());
    return ExitOk;
}

void InstanceDaemon::listen()
{
    asio::io_context &context = m_loop.context();
    const auto plainLimits = [] { return ConnectionLimits(); };
    if (m_settings.callerAddress) {
        m_callerServer = std::make_unique<ConnectionSet>(
            context,
            toTcpEndpoint(*m_settings.callerAddress),
            [this](const ServerConnectionPtr &connection, ServerRequest request) { onCallerRequest(connection, std::move(request)); },
            [this] { return callerLimits(); },
            callerBounds());
    }
    if (m_settings.readinessAddress) {
        m_readinessServer = std::make_unique<ConnectionSet>(
            context,
            toTcpEndpoint(*m_settings.readinessAddress),
            [this](const ServerConnectionPtr &connection, const ServerRequest &) { onReadinessRequest(connection); },
            plainLimits);
    }
    if (m_settings.peerAddress) {
        m_peerServer = std::make_unique<ConnectionSet>(
            context,
            toTcpEndpoint(*m_settings.peerAddress),
            [this](const ServerConnectionPtr &connection, ServerRequest request) { m_peerApi.handle(connection, std::move(request)); },
            [] { return peerLimits(); });
    }
    m_metricsServer = std::make_unique<ConnectionSet>(
        context,
        asio::ip::tcp::endpoint(asio::ip::make_address(m_settings.ip), platform::MetricsPort),
        [this](const ServerConnectionPtr &connection, const ServerRequest &) { onMetricsRequest(connection); },
        plainLimits);
}

void InstanceDaemon::awaitSignals()
{
    m_signals.async_wait([this](const asio::error_code &ec, int signal) {
        if (!ec) {
            onSignal(signal);
            awaitSignals();
        }
    });
}

void InstanceDaemon::onSignal(int signal)
{
    if (signal == SIGHUP) {
        reloadSettings();
    } else {
        beginDrain();
    }
}

// Addresses and memory limits are read at the start only.
void InstanceDaemon::reloadSettings()
{
    const auto settings = m_settingsFile.reloadIfChanged();
    if (!settings) {
        return;
    }
    m_settings.stopGracePeriod = settings->stopGracePeriod;
    m_settings.seedPeers = settings->seedPeers;
    refreshStoreFallbacks();
    logChange("reloaded", "grace_ms={} seed_peers={}", m_settings.stopGracePeriod.count(), m_settings.seedPeers.size());
}

ConnectionLimits InstanceDaemon::callerLimits() const
{
    const CallerLimits &limits = m_routes.configuration().limits;
    return {limits.maxHeadBytes, limits.maxBodyBytes, limits.headTimeout, limits.idleTimeout};
}

ConnectionBounds InstanceDaemon::callerBounds()
{
    ConnectionBounds bounds;
    bounds.memory = &m_callerMemory;
    bounds.maxDescriptors = callerDescriptors(m_settings.maxDescriptors);
    bounds.refusalFields = [](const MessageHead &head) {
        constexpr int ServiceUnavailable = 503;
        const RequestId id = platform::decodeRequest(head).id;
        return platform::errorFields(ServiceUnavailable, id.value().empty() ? std::nullopt : std::optional<RequestId>(id), DefaultRetryAfter);
    };
    bounds.onShed = [this](ShedEvent event) { onShed(event); };
    return bounds;
}

void InstanceDaemon::onShed(ShedEvent event)
{
    const auto name = [event] {
        switch (event) {
        case ShedEvent::RequestRefused:
            return "request-refused";
        case ShedEvent::RequestClosed:
            return "request-closed";
        case ShedEvent::ResponseCutOff:
            return "response-cut-off";
        case ShedEvent::ConnectionRefused:
            return "connection-refused";
        case ShedEvent::ConnectionClosed:
            return "connection-closed";
        }
        return "";
    };
    m_metrics.add("flamingo_callers_shed_total", fmt::format("what=\"{}\"", name()));
    logChange("caller-shed", "what={} held_bytes={} connections={}", name(), m_callerMemory.heldBytes(), m_callerServer->size());
}

bool InstanceDaemon::isReady() const
{
    return !m_drainSchedule.hasBegun() && m_registryWatcher.isLoaded() && !m_isolationDetector.isIsolated();
}

EndpointMonitor::Hooks InstanceDaemon::endpointMonitorHooks()
{
    return {[this](bool) { m_dispatchQueue.forgiveFailures(); }, [this] { return mayForward(); }, [this] { return m_requestForwarder.count(); }};
}

// What one that is cut off itself passed on would be refused, and a stop must not cut off the requests of others.
bool InstanceDaemon::mayForward()
{
    return !m_drainSchedule.hasBegun() && !m_endpointReachability.isCutOff();
}

// Persistent connections would keep callers at an isolated instance, so each is closed after its next response.
void InstanceDaemon::onIsolationChanged(bool isIsolated)
{
    m_quotas.setIsolated(isIsolated);
    if (m_callerServer && !m_drainSchedule.hasBegun()) {
        m_callerServer->setClosing(isIsolated);
    }
}

void InstanceDaemon::onCallerRequest(const ServerConnectionPtr &connection, ServerRequest request)
{
    const auto proxied = std::make_shared<ProxiedRequest>(m_proxyContext, connection, std::move(request));
    m_activeRequests.add(proxied);
    proxied->start();
}

void InstanceDaemon::onReadinessRequest(const ServerConnectionPtr &connection)
{
    constexpr int StatusOk = 200;
    constexpr int StatusNotReady = 503;
    connection->respond(isReady() ? StatusOk : StatusNotReady, {}, {});
}

void InstanceDaemon::onMetricsRequest(const ServerConnectionPtr &connection)
{
    constexpr int StatusOk = 200;
    m_metrics.setGauge("flamingo_endpoint_connections_opened", {}, static_cast<double>(m_endpointConnections.openedConnectionCount()));
    m_metrics.setGauge("flamingo_history_bytes", {}, static_cast<double>(m_turnCache.sizeBytes()));
    m_metrics.setGauge("flamingo_programs", {}, static_cast<double>(m_budgets.programCount()));
    m_metrics.setGauge("flamingo_configuration_version", {}, static_cast<double>(m_routes.configuration().version.value()));
    m_metrics.setGauge("flamingo_workspaces", {}, static_cast<double>(m_routes.workspaces().workspaceCount()));
    m_metrics.setGauge("flamingo_workspace_keys", {}, static_cast<double>(m_routes.workspaces().keyCount()));
    m_metrics.setGauge("flamingo_requests_waiting", {}, static_cast<double>(m_dispatchQueue.waitingCount()));
    m_metrics.setGauge("flamingo_caller_memory_bytes", {}, static_cast<double>(m_callerMemory.heldBytes()));
    m_metrics.setGauge("flamingo_caller_connections", {}, m_callerServer ? static_cast<double>(m_callerServer->size()) : 0);
    connection->respond(StatusOk, {}, m_metrics.render());
}

// Logs the main metrics, for analysis when only the log is available.
void InstanceDaemon::logSummary()
{
    const auto calls = [this](const char *name) { return m_metrics.counter("flamingo_store_calls_total", fmt::format("call=\"{}\"", name)); };
    logChange("summary",
              "store_reads={} store_lists={} store_watches={} store_commits={} store_forwards={} store_failures={} programs={} history_bytes={} waiting={}",
              calls("read"),
              calls("list"),
              calls("watch"),
              calls("commit"),
              calls("forward"),
              m_metrics.counter("flamingo_store_failures_total"),
              m_budgets.programCount(),
              m_turnCache.sizeBytes(),
              m_dispatchQueue.waitingCount());
}

void InstanceDaemon::beginDrain()
{
    if (m_drainSchedule.hasBegun()) {
        return;
    }
    const Instant now = std::chrono::steady_clock::now();
    m_drainSchedule.begin(now, m_settings.stopGracePeriod);
    logChange("draining", "busy={} grace_ms={}", m_callerServer ? m_callerServer->busyCount() : 0, m_settings.stopGracePeriod.count());
    if (!m_callerServer) {
        m_loop.stop();
        return;
    }
    m_members.setDraining();
    m_peerApi.setDraining();
    m_quotas.beginDrain();
    m_budgets.beginRelease(now);
    m_registration.tryDeregister(m_budgets.hasProvisionalGrants());
    m_callerServer->setClosing(true);
    m_loop.timers().every(now, DrainCheckPeriod, [this](Instant at) { checkDrain(at); });
}

void InstanceDaemon::checkDrain(Instant now)
{
    m_registration.tryDeregister(m_budgets.hasProvisionalGrants());
    if (m_drainSchedule.isOver(now)) {
        logChange("drain-timed-out", "busy={}", m_callerServer->busyCount());
        m_loop.stop();
        return;
    }
    if (!m_drainSchedule.isClosingConnections(now)) {
        return;
    }
    if (m_drainSchedule.isEndingRequests(now)) {
        m_activeRequests.endAll();
    }
    m_callerServer->stopAccepting();
    m_callerServer->closeIdle();
    const bool isForwarding = m_requestForwarder.count() > 0 || (m_peerServer && m_peerServer->unsentBytes() > 0);
    if (!m_callerServer->isAccepting() && m_callerServer->size() == 0 && !isForwarding) {
        m_loop.stop();
    }
}

} // namespace flamingo
