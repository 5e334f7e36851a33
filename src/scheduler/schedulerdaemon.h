#pragma once

#include "core/worker.h"
#include "endpoints/endpointclient.h"
#include "http/httpserver.h"
#include "peerlink/peerlink.h"
#include "persistence/journalstore.h"
#include "scheduler/schedulercore.h"
#include "settings/instancesettings.h"

#include <memory>

namespace flamingo
{

/// The scheduler process: the decisions on a thread of their own, and around them the threads with the wires.
class SchedulerDaemon
{
public:
    explicit SchedulerDaemon(const InstanceSettings &settings);

    /// Runs until a stop signal has arrived and the shards are handed over. Returns the exit code.
    int run();

private:
    /// Runs an input on the decision thread with the time set, then carries out the actions it led to.
    template<typename Input>
    void decide(Input input);

    void perform(Action &action);
    void onPeerMessage(LinkId link, PeerMessage message);
    void subscribe();
    void report();
    void waitForDrain();

    const InstanceSettings m_settings;
    Metrics m_metrics;
    SchedulerCore m_core;
    Worker m_decisions;
    LinkId m_controlLink = 0;
    std::unique_ptr<PeerLink> m_peers;
    std::unique_ptr<JournalStore> m_store;
    std::unique_ptr<EndpointClient> m_endpoints;
    std::unique_ptr<HttpServer> m_http;
};

} // namespace flamingo
