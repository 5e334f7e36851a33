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

SchedulerSettings coreSettings(const InstanceSettings &settings)
{
    SchedulerSettings core;
    core.instance = settings.id;
    core.domain = settings.domain;
    core.domains = settings.domains;
    core.incarnation = std::to_string(processIncarnation());
    core.shardCount = settings.shardCount;
    core.journal = settings.journal;
    core.rules = settings.rules;
    core.commitWait = settings.commitWait;
    core.programRetention = settings.programRetention;
    core.memorySweepPeriod = settings.memorySweep;
    return core;
}
} // namespace

SchedulerDaemon::SchedulerDaemon(const InstanceSettings &settings)
    : m_settings(settings)
    , m_core(coreSettings(settings), m_metrics)
    , m_decisions("decisions")
{
}

template<typename Input>
void SchedulerDaemon::decide(Input input)
{
    m_decisions.post([this, input = std::move(input)]() mutable {
        m_core.setTime(std::chrono::steady_clock::now(), wallClockMs());
        input();
        for (Action &action : m_core.takeActions()) {
            perform(action);
        }
    });
}

void SchedulerDaemon::perform(Action &action)
{
    std::visit(Visitors{[this](CallStore &call) {
                            m_store->perform(call.operation, [this, shard = call.shard](StoreReply reply) {
                                decide([this, shard, reply = std::move(reply)] { m_core.onStoreReply(shard, reply); });
                            });
                        },
                        [this](SendOnLink &send) { m_peers->send(send.link, send.message); },
                        [this](SendToPeer &send) { m_peers->sendTo(send.address, send.message); },
                        [this](StartAttempt &start) { m_endpoints->send(start.request); },
                        [this](CancelAttempt &cancel) { m_endpoints->cancel(cancel.attempt); },
                        [this](ReleaseMemory &release) { m_endpoints->releaseMemory(release.address, release.program, release.fence); },
                        [this](ListMemory &list) { m_endpoints->listMemory(list.endpoint, list.address); }},
               action);
}

void SchedulerDaemon::onPeerMessage(LinkId link, PeerMessage message)
{
    decide([this, link, message = std::move(message)] { m_core.onMessage(link, message); });
}

void SchedulerDaemon::subscribe()
{
    m_controlLink = m_peers->sendTo(m_settings.controlPeer.text(), Subscribe{"scheduler"});
}

void SchedulerDaemon::report()
{
    m_peers->send(m_controlLink, m_core.report());
    m_metrics.setGauge("flamingo_shards_owned", {}, static_cast<double>(m_core.report().shards.size()));
    m_metrics.setGauge("flamingo_peer_bytes_sent", {}, static_cast<double>(m_peers->bytesSent()));
    m_metrics.setGauge("flamingo_peer_bytes_received", {}, static_cast<double>(m_peers->bytesReceived()));
}

int SchedulerDaemon::run()
{
    m_store = std::make_unique<JournalStore>(m_settings.platform, m_metrics);
    m_endpoints = std::make_unique<EndpointClient>(
        [this](AttemptId attempt, std::string text) { decide([this, attempt, text = std::move(text)] { m_core.onAttemptDelta(attempt, text); }); },
        [this](EndpointResult result) { decide([this, result = std::move(result)] { m_core.onAttemptResult(result); }); },
        [this](EndpointId endpoint, std::vector<ProgramId> programs) {
            decide([this, endpoint = std::move(endpoint), programs = std::move(programs)] { m_core.onMemoryListed(endpoint, programs); });
        });
    PeerTransport::Settings link;
    link.listenAddress = m_settings.schedulerPeer.host;
    link.listenPort = m_settings.schedulerPeer.port;
    link.secret = m_settings.peerSecret;
    link.heartbeatPeriod = m_settings.heartbeat;
    link.silenceTimeout = m_settings.silence;
    m_peers = std::make_unique<PeerTransport>(
        link,
        [this](LinkId from, PeerMessage message) { onPeerMessage(from, std::move(message)); },
        [this](LinkId down) {
            decide([this, down] {
                m_core.onLinkDown(down);
                if (down == m_controlLink) {
                    m_controlLink = 0;
                }
            });
        });
    const Instant now = std::chrono::steady_clock::now();
    m_decisions.timers().every(now, TimerPeriod, [this](Instant at) {
        m_core.setTime(at, wallClockMs());
        m_core.onTimer();
        for (Action &action : m_core.takeActions()) {
            perform(action);
        }
    });
    m_decisions.timers().every(now, ReportPeriod, [this](Instant) {
        if (m_controlLink == 0) {
            subscribe();
        }
        report();
    });
    m_decisions.start();
    m_http = std::make_unique<HttpServer>(HttpServer::Settings{m_settings.schedulerHttp.host, m_settings.schedulerHttp.port, 1, m_settings.maxBodyBytes},
                                          [this](const HttpExchangePtr &exchange) {
                                              const bool isMetrics = exchange->path() == "/metrics";
                                              exchange->respond(isMetrics ? 200 : 404, "text/plain", isMetrics ? m_metrics.render() : "no such page\n");
                                          });
    logChange("started", "instance={} domain={}", m_settings.id.value(), m_settings.domain.value());
    waitForStopSignal();
    waitForDrain();
    m_http->stop();
    m_decisions.stop();
    m_peers->stop();
    m_endpoints.reset();
    m_store.reset();
    logChange("stopped", "instance={}", m_settings.id.value());
    return ExitOk;
}

void SchedulerDaemon::waitForDrain()
{
    logChange("draining", "instance={}", m_settings.id.value());
    decide([this] { m_core.drain(); });
    const Instant end = std::chrono::steady_clock::now() + m_settings.drainTime;
    bool isDrained = false;
    while (!isDrained && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(DrainCheckPeriod);
        std::promise<bool> promise;
        m_decisions.post([&] { promise.set_value(m_core.isDrained()); });
        isDrained = promise.get_future().get();
    }
    logChange("drained", "complete={}", isDrained);
    std::this_thread::sleep_for(DrainFlushTime);
}

} // namespace flamingo
