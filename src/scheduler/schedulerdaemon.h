#pragma once

#include "core/worker.h"
#include "endpoints/endpointclient.h"
#include "http/httpserver.h"
#include "peerlink/peertransport.h"
#include "persistence/journalstore.h"
#include "scheduler/schedulercore.h"
#include "settings/instancesettings.h"

#include <memory>

namespace flamingo
{

/// The scheduler process: the core runs on a thread of its own, network and store I/O on others.
class SchedulerDaemon
{
public:
    explicit SchedulerDaemon(const InstanceSettings &settings);

    /// Runs until a stop signal arrives, then until the shards are released or the drain timeout is over. Returns the exit code.
    int run();

private:
    /// Runs a task on the core's thread with the core's time set, then performs the resulting actions.
    template<typename Task>
    void postToCore(Task task);

    void performAction(Action &action);
    void onPeerMessage(LinkId link, PeerMessage message);
    void subscribeToControl();
    void sendReport();
    void waitForDrain();

    const InstanceSettings m_settings;
    Metrics m_metrics;
    SchedulerCore m_core;
    Worker m_coreThread;
    LinkId m_controlLink = 0;
    std::unique_ptr<PeerTransport> m_peerTransport;
    std::unique_ptr<JournalStore> m_journalStore;
    std::unique_ptr<EndpointClient> m_endpointClient;
    std::unique_ptr<HttpServer> m_httpServer;
};

} // namespace flamingo
