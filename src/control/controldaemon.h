#pragma once

#include "control/controlcore.h"
#include "control/gossipsocket.h"
#include "control/operatorapi.h"
#include "core/worker.h"
#include "http/httpserver.h"
#include "peerlink/peertransport.h"
#include "persistence/journalstore.h"

#include <functional>
#include <memory>

namespace flamingo
{

/// The control process. The control core runs on one thread; the store client, the gossip socket, the peer transport and the
/// HTTP server have their own threads and post their input to it.
class ControlDaemon
{
public:
    explicit ControlDaemon(const InstanceSettings &settings);

    /// Runs until a stop signal arrives. Returns the exit code.
    int run();

private:
    /// Runs a task on the core's thread with the core's time set, then performs the resulting actions.
    void postToCore(std::function<void()> task);
    void performActions();
    void performAction(ControlAction &action);
    void openConnections();
    void startTimers();

    const InstanceSettings m_settings;
    Metrics m_metrics;
    ControlCore m_core;
    Worker m_coreThread;
    std::unique_ptr<GossipSocket> m_gossip;
    std::unique_ptr<PeerTransport> m_peerTransport;
    std::unique_ptr<JournalStore> m_journalStore;
    OperatorApi m_api;
    std::unique_ptr<HttpServer> m_httpServer;
};

} // namespace flamingo
