#pragma once

#include "core/eventloop.h"
#include "core/metrics.h"
#include "http/connectionset.h"
#include "instance/activerequests.h"
#include "instance/dispatchqueue.h"
#include "instance/grantsurveyor.h"
#include "instance/homeservice.h"
#include "instance/instanceregistration.h"
#include "instance/isolationdetector.h"
#include "instance/peerapi.h"
#include "instance/proxiedrequest.h"
#include "instance/quotaclient.h"
#include "instance/registrywatcher.h"
#include "instance/witnessclient.h"
#include "persistence/garbagecollector.h"
#include "persistence/platformbudgetstore.h"
#include "persistence/platformturnstore.h"
#include "persistence/replicatedturnstore.h"
#include "platform/bootsettingsfile.h"
#include "serving/admission.h"
#include "serving/drainschedule.h"
#include "serving/grantmarks.h"
#include "serving/provisionalgrantpolicy.h"

#include <memory>
#include <optional>

namespace flamingo
{

/// The daemon of one machine's instance. It accepts callers' requests, schedules them, forwards them to endpoints and streams the
/// responses back. It keeps nothing on disk; durable state is in the platform's store.
class InstanceDaemon
{
public:
    explicit InstanceDaemon(platform::BootSettings settings);

    /// Runs until a stop signal has arrived and the drain has ended. Returns the exit code.
    int run();

private:
    MemberRecord ownMemberRecord() const;
    InstanceRegistration::Hooks registrationHooks();
    GrantMarks::Hooks grantMarkHooks();
    std::optional<QuotaLimit> quotaOf(const WorkspaceId &id) const;
    void onRegistered(bool isNewMachine, const std::optional<MemberRecord> &earlier);
    void onEarlierIncarnation(GrantHistory history, bool hasEnded);
    void writeGrantHistory(std::function<void(std::optional<MemberListRevision> revision)> onWritten);
    MarkSurveyor::Hooks markSurveyHooks();
    void listen();
    void awaitSignals();
    void onSignal(int signal);
    void reloadSettings();
    void onCallerRequest(const ServerConnectionPtr &connection, ServerRequest request);
    void onReadinessRequest(const ServerConnectionPtr &connection);
    void onEndpointsChanged();
    void onMembersChanged();
    void onHeartbeatTimer();
    void probeStore();
    void checkFirstStart();
    void refreshStoreFallbacks();
    void onMetricsRequest(const ServerConnectionPtr &connection);
    void logSummary();
    void beginDrain();
    void checkDrain(Instant now);
    ConnectionLimits callerLimits() const;
    ConnectionBounds callerBounds();
    void onShed(ShedEvent event);
    void onIsolationChanged(bool isIsolated);
    bool isReady() const;
    EndpointMonitor::Hooks endpointMonitorHooks();
    bool mayForward();

    platform::BootSettings m_settings;
    platform::BootSettingsFile m_settingsFile;
    IncarnationId m_incarnation;
    // Handlers that are pending when the loop is destroyed hold connections, which return their memory.
    MemoryAccount m_callerMemory;
    BufferQuota m_responseBuffers;
    EndpointReachability m_endpointReachability;
    EventLoop m_loop;
    Metrics m_metrics;
    platform::PlatformStore m_store;
    PlatformBudgetStore m_budgetStore;
    PlatformTurnStore m_turnStore;
    RouteTable m_routes;
    EndpointDirectory m_endpointDirectory;
    MemberDirectory m_members;
    ConfigurationAge m_configurationAge;
    DispatchQueue m_dispatchQueue;
    ProvisionalGrantPolicy m_provisionalGrantPolicy;
    InstanceRegistration m_registration;
    ConnectionPool m_peerConnections;
    QuotaClient m_quotas;
    WitnessClient m_witnesses;
    BudgetLedger m_budgets;
    ConnectionPool m_archiveConnections;
    ReplicatedTurnStore m_replicatedTurnStore;
    GrantMarks m_grantMarks;
    TurnCache m_turnCache;
    ConnectionPool m_endpointConnections;
    EndpointMonitor m_endpointMonitor;
    EndpointSender m_endpointSender;
    RequestForwarder m_requestForwarder;
    HomeService m_homeService;
    HomeClient m_homeClient;
    RegistryWatcher m_registryWatcher;
    VersionConfirmer m_versionConfirmer;
    StreamOriginClient m_streamOrigins;
    MarkSurveyor m_markSurveyor;
    GrantSurveyor m_grantSurveyor;
    PeerApi m_peerApi;
    IsolationDetector m_isolationDetector;
    DrainSchedule m_drainSchedule;
    Admission m_admission;
    ProxyContext m_proxyContext;
    ActiveRequests m_activeRequests;
    asio::signal_set m_signals;
    std::unique_ptr<ConnectionSet> m_callerServer;
    std::unique_ptr<ConnectionSet> m_readinessServer;
    std::unique_ptr<ConnectionSet> m_peerServer;
    std::unique_ptr<ConnectionSet> m_metricsServer;
    GarbageCollector m_garbageCollector;
};

} // namespace flamingo
