#pragma once

#include "core/eventloop.h"
#include "core/metrics.h"
#include "http/connectionset.h"
#include "instance/dispatchqueue.h"
#include "instance/homeservice.h"
#include "instance/isolationdetector.h"
#include "instance/proxiedrequest.h"
#include "instance/registrywatcher.h"
#include "persistence/budgetandturnstores.h"
#include "persistence/garbagecollector.h"
#include "persistence/memberregistration.h"
#include "persistence/replicatedturnstore.h"
#include "platform/bootsettingsfile.h"
#include "serving/provisionalgrantpolicy.h"

#include <memory>
#include <optional>

namespace flamingo
{

/// One machine's instance: takes callers' requests, decides, sends them to endpoints and streams the answers back. It
/// keeps nothing on disk; what must last lives in the platform's store.
class InstanceDaemon
{
public:
    explicit InstanceDaemon(platform::BootSettings settings);

    /// Runs until it has been told to stop and is drained. Returns the exit code.
    int run();

private:
    void listen();
    void awaitSignals();
    void onSignal(int signal);
    void reloadSettings();
    void onRequest(const ServerConnectionPtr &connection, ServerRequest request);
    void onReadiness(const ServerConnectionPtr &connection);
    void onPeerRequest(const ServerConnectionPtr &connection, const ServerRequest &request);
    void onTurnBegin(const ServerConnectionPtr &connection, const std::string &body);
    void onTurnEnd(const ServerConnectionPtr &connection, const std::string &body);
    void readDeparture();
    void enterFleet();
    void leaveFleet();
    void onFleetChanged();
    void giveSign();
    void probeStore();
    void checkFirstStart();
    void refreshDetours();
    void onMetrics(const ServerConnectionPtr &connection);
    void logSummary();
    void beginDrain();
    void checkDrain(Instant now);
    ConnectionLimits callerLimits() const;
    void onIsolation(bool isIsolated);
    bool isReady() const;

    platform::BootSettings m_settings;
    platform::BootSettingsFile m_settingsFile;
    IncarnationId m_holder;
    EventLoop m_loop;
    Metrics m_metrics;
    platform::PlatformStore m_store;
    PlatformBudgetStore m_budgetStore;
    PlatformTurnStore m_turnStore;
    MemberRegistration m_entry;
    RouteTable m_routes;
    EndpointDirectory m_directory;
    MemberDirectory m_fleet;
    Placement m_placement;
    ProvisionalGrantPolicy m_lender;
    BudgetLedger m_budgets;
    LinkPool m_archiveLinks;
    ReplicatedTurnStore m_archivedTurns;
    TurnCache m_history;
    LinkPool m_endpoints;
    LinkPool m_peerLinks;
    ProgramHome m_home;
    HomeClient m_homes;
    RegistryFeed m_feed;
    IsolationWatch m_isolation;
    RelayContext m_relays;
    asio::signal_set m_signals;
    std::unique_ptr<ConnectionSet> m_callers;
    std::unique_ptr<ConnectionSet> m_readiness;
    std::unique_ptr<ConnectionSet> m_peers;
    std::unique_ptr<ConnectionSet> m_metricsPage;
    GarbageCollector m_sweeper;
    std::optional<Instant> m_drainingSince;
    bool m_isEntering = true; ///< Until the store has taken the entry.
    bool m_hasLeft = false; ///< Or is about to: the store has been asked.
};

} // namespace flamingo
