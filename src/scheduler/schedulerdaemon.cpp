#include "scheduler/schedulerdaemon.h"

#include "core/commandline.h"
#include "core/log.h"
#include "core/stopsignal.h"
#include "core/visitors.h"

#include <fmt/format.h>

#include <chrono>
#include <future>
#include <thread>

namespace flamingo
{

namespace
{
constexpr Milliseconds TimerPeriod{5};
constexpr Milliseconds ReportPeriod{200};
constexpr Milliseconds DrainCheckPeriod{50};
constexpr Milliseconds DrainFlushTime{200};

std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

SchedulerSettings schedulerSettings(const InstanceSettings &settings)
{
    SchedulerSettings core;
    core.instance = settings.id;
    core.domain = settings.domain;
    core.domains = settings.domains;
    core.incarnation = std::to_string(createIncarnation());
    core.shardCount = settings.shardCount;
    core.journal = settings.journal;
    core.rules = settings.rules;
    core.commitWait = settings.commitWait;
    core.programRetention = settings.programRetention;
    core.memorySweepPeriod = settings.memorySweepPeriod;
    return core;
}
} // namespace

SchedulerDaemon::SchedulerDaemon(const InstanceSettings &settings)
    : m_settings(settings)
    , m_core(schedulerSettings(settings), m_metrics)
    , m_coreThread("decisions")
{
}

template<typename Task>
void SchedulerDaemon::postToCore(Task task)
{
    m_coreThread.post([this, task = std::move(task)]() mutable {
        m_core.setTime(std::chrono::steady_clock::now(), wallClockMs());
        task();
        for (Action &action : m_core.takeActions()) {
            performAction(action);
        }
    });
}

void SchedulerDaemon::performAction(Action &action)
{
    std::visit(Visitors{[this](PerformStoreOperation &store) {
                            m_journalStore->perform(store.operation, [this, shard = store.shard](StoreReply reply) {
                                postToCore([this, shard, reply = std::move(reply)] { m_core.onStoreReply(shard, reply); });
                            });
                        },
                        [this](SendOnLink &send) { m_peerTransport->send(send.link, send.message); },
                        [this](SendToPeer &send) { m_peerTransport->sendTo(send.address, send.message); },
                        [this](StartAttempt &start) { m_endpointClient->send(start.request); },
                        [this](CancelAttempt &cancel) { m_endpointClient->cancel(cancel.attempt); },
                        [this](ReleaseEngineMemory &release) { m_endpointClient->releaseMemory(release.address, release.program, release.fence); },
                        [this](ListEngineMemory &list) { m_endpointClient->listMemory(list.endpoint, list.address); }},
               action);
}

void SchedulerDaemon::onPeerMessage(LinkId link, PeerMessage message)
{
    postToCore([this, link, message = std::move(message)] { m_core.onMessage(link, message); });
}

void SchedulerDaemon::subscribeToControl()
{
    m_controlLink = m_peerTransport->sendTo(m_settings.controlPeer.text(), Subscribe{"scheduler"});
}

void SchedulerDaemon::sendReport()
{
    m_peerTransport->send(m_controlLink, m_core.report());
    m_metrics.setGauge("flamingo_shards_owned", {}, static_cast<double>(m_core.report().shards.size()));
    m_metrics.setGauge("flamingo_peer_bytes_sent", {}, static_cast<double>(m_peerTransport->bytesSent()));
    m_metrics.setGauge("flamingo_peer_bytes_received", {}, static_cast<double>(m_peerTransport->bytesReceived()));
}

int SchedulerDaemon::run()
{
    m_journalStore = std::make_unique<JournalStore>(m_settings.platformAddress, m_metrics);
    m_endpointClient = std::make_unique<EndpointClient>(
        [this](AttemptId attempt, std::string text) { postToCore([this, attempt, text = std::move(text)] { m_core.onAttemptDelta(attempt, text); }); },
        [this](EndpointResult result) { postToCore([this, result = std::move(result)] { m_core.onAttemptResult(result); }); },
        [this](EndpointId endpoint, std::vector<ProgramId> programs) {
            postToCore([this, endpoint = std::move(endpoint), programs = std::move(programs)] { m_core.onMemoryListed(endpoint, programs); });
        });
    PeerTransport::Settings transportSettings;
    transportSettings.listenAddress = m_settings.schedulerPeer.host;
    transportSettings.listenPort = m_settings.schedulerPeer.port;
    transportSettings.secret = m_settings.peerSecret;
    transportSettings.heartbeatPeriod = m_settings.heartbeatPeriod;
    transportSettings.silenceTimeout = m_settings.silenceTimeout;
    m_peerTransport = std::make_unique<PeerTransport>(
        transportSettings,
        [this](LinkId from, PeerMessage message) { onPeerMessage(from, std::move(message)); },
        [this](LinkId down) {
            postToCore([this, down] {
                m_core.onLinkDown(down);
                if (down == m_controlLink) {
                    m_controlLink = 0;
                }
            });
        });
    const Instant now = std::chrono::steady_clock::now();
    m_coreThread.timers().every(now, TimerPeriod, [this](Instant at) {
        m_core.setTime(at, wallClockMs());
        m_core.onTimer();
        for (Action &action : m_core.takeActions()) {
            performAction(action);
        }
    });
    m_coreThread.timers().every(now, ReportPeriod, [this](Instant) {
        if (m_controlLink == 0) {
            subscribeToControl();
        }
        sendReport();
    });
    m_coreThread.start();
    m_httpServer = std::make_unique<HttpServer>(HttpServer::Settings{m_settings.schedulerHttp.host, m_settings.schedulerHttp.port, 1, m_settings.maxBodyBytes},
                                                [this](const HttpExchangePtr &exchange) {
                                                    const bool isMetrics = exchange->path() == "/metrics";
                                                    exchange->respond(isMetrics ? 200 : 404, "text/plain", isMetrics ? m_metrics.render() : "no such page\n");
                                                });
    logChange("started", "instance={} domain={}", m_settings.id.value(), m_settings.domain.value());
    waitForStopSignal();
    waitForDrain();
    m_httpServer->stop();
    m_coreThread.stop();
    m_peerTransport->stop();
    m_endpointClient.reset();
    m_journalStore.reset();
    logChange("stopped", "instance={}", m_settings.id.value());
    return ExitOk;
}

void SchedulerDaemon::waitForDrain()
{
    logChange("draining", "instance={}", m_settings.id.value());
    postToCore([this] { m_core.drain(); });
    const Instant end = std::chrono::steady_clock::now() + m_settings.drainTimeout;
    bool isDrained = false;
    while (!isDrained && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(DrainCheckPeriod);
        std::promise<bool> promise;
        m_coreThread.post([&] { promise.set_value(m_core.isDrained()); });
        isDrained = promise.get_future().get();
    }
    logChange("drained", "complete={}", isDrained);
    std::this_thread::sleep_for(DrainFlushTime);
}

} // namespace flamingo
