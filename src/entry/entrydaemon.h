#pragma once

#include "core/metrics.h"
#include "core/worker.h"
#include "entry/callerapi.h"
#include "entry/entrycore.h"
#include "http/httpserver.h"
#include "peerlink/peertransport.h"
#include "settings/instancesettings.h"

#include <functional>
#include <memory>

namespace flamingo
{

/// The entry process. Callers' HTTP runs on RESTinio's threads, the core on one thread and the peer transport on another.
class EntryDaemon
{
public:
    explicit EntryDaemon(const InstanceSettings &settings);

    /// Runs until a stop signal has arrived and then until all pending requests are answered, for the drain time at most.
    /// Returns the exit code.
    int run();

private:
    void updateTime();
    /// Runs a task on the core's thread with the core's time set.
    void postToCore(std::function<void()> task);
    void onHttpRequest(const HttpExchangePtr &exchange);
    void waitForDrain();

    const InstanceSettings m_settings;
    Metrics m_metrics;
    EntryCore m_core;
    CallerApi m_api;
    Worker m_coreThread;
    LinkId m_controlLink = 0;
    std::unique_ptr<PeerTransport> m_peerTransport;
    std::unique_ptr<HttpServer> m_httpServer;
};

} // namespace flamingo
