#include "control/controldaemon.h"

#include "core/commandline.h"
#include "core/log.h"
#include "core/stopsignal.h"
#include "core/visitors.h"

#include <chrono>

namespace flamingo
{

namespace
{
constexpr Milliseconds TimerPeriod{10};
constexpr Milliseconds GaugePeriod{1000};
} // namespace

ControlDaemon::ControlDaemon(const InstanceSettings &settings)
    : m_settings(settings)
    , m_core(settings, createIncarnation())
    , m_coreThread("decisions")
    , m_api(m_core, m_metrics, settings.operatorToken, [this](std::function<void()> task) { postToCore(std::move(task)); })
{
}

void ControlDaemon::postToCore(std::function<void()> task)
{
    m_coreThread.post([this, task = std::move(task)] {
        m_core.setTime(std::chrono::steady_clock::now());
        task();
        performActions();
    });
}

void ControlDaemon::performActions()
{
    for (ControlAction &action : m_core.takeActions()) {
        performAction(action);
    }
}

void ControlDaemon::performAction(ControlAction &action)
{
    std::visit(Visitors{[this](SendGossip &send) { m_gossip->send(send.address, encodeGossip(send.message)); },
                        [this](SendOnControlLink &send) { m_peerTransport->send(send.link, send.message); },
                        [this](SendToControlPeer &send) { m_peerTransport->sendTo(send.address, send.message); },
                        [this](CallConfigStore &call) {
                            m_journalStore->perform(call.operation,
                                                    [this](StoreReply reply) { postToCore([this, reply = std::move(reply)] { m_core.onStoreReply(reply); }); });
                        },
                        [this](WatchConfig &watch) {
                            m_journalStore->watch(ConfigurationReplica::watchPrefix(), watch.afterRevision, [this](WatchResult result) {
                                postToCore([this, result = std::move(result)] { m_core.onConfigurationChanges(result); });
                            });
                        },
                        [this](WatchEndpoints &watch) {
                            m_journalStore->watchEndpoints(watch.afterRevision, [this](EndpointChanges changes) {
                                postToCore([this, changes = std::move(changes)] { m_core.onEndpointChanges(changes); });
                            });
                        }},
               action);
}

void ControlDaemon::openConnections()
{
    m_journalStore = std::make_unique<JournalStore>(m_settings.platformAddress, m_metrics);
    m_gossip = std::make_unique<GossipSocket>(m_settings.controlGossip.host, m_settings.controlGossip.port, m_settings.peerSecret, [this](std::string payload) {
        postToCore([this, payload = std::move(payload)] {
            if (const auto message = decodeGossip(payload)) {
                m_core.onGossip(*message);
            }
        });
    });
    PeerTransport::Settings transportSettings;
    transportSettings.listenAddress = m_settings.controlPeer.host;
    transportSettings.listenPort = m_settings.controlPeer.port;
    transportSettings.secret = m_settings.peerSecret;
    transportSettings.heartbeatPeriod = m_settings.heartbeatPeriod;
    transportSettings.silenceTimeout = m_settings.silenceTimeout;
    transportSettings.idleTimeout = Milliseconds(5000);
    m_peerTransport = std::make_unique<PeerTransport>(
        transportSettings,
        [this](LinkId from, PeerMessage message) { postToCore([this, from, message = std::move(message)] { m_core.onPeerMessage(from, message); }); },
        [this](LinkId down) { postToCore([this, down] { m_core.onLinkDown(down); }); });
}

void ControlDaemon::startTimers()
{
    const Instant now = std::chrono::steady_clock::now();
    m_coreThread.timers().every(now, TimerPeriod, [this](Instant at) {
        m_core.setTime(at);
        m_core.onTimer();
        performActions();
    });
    m_coreThread.timers().every(now, GaugePeriod, [this](Instant) {
        m_metrics.setGauge("flamingo_gossip_bytes_sent", {}, static_cast<double>(m_gossip->bytesSent()));
        m_metrics.setGauge("flamingo_peer_bytes_sent", {}, static_cast<double>(m_peerTransport->bytesSent()));
        m_metrics.setGauge("flamingo_peer_bytes_received", {}, static_cast<double>(m_peerTransport->bytesReceived()));
    });
}

int ControlDaemon::run()
{
    openConnections();
    startTimers();
    m_coreThread.start();
    m_httpServer = std::make_unique<HttpServer>(HttpServer::Settings{m_settings.controlHttp.host, m_settings.controlHttp.port, 1, m_settings.maxBodyBytes},
                                                [this](const HttpExchangePtr &exchange) { m_api.handle(exchange); });
    logChange("started", "instance={} domain={}", m_settings.id.value(), m_settings.domain.value());
    waitForStopSignal();
    m_httpServer->stop();
    m_coreThread.stop();
    m_peerTransport->stop();
    m_gossip.reset();
    m_journalStore.reset();
    logChange("stopped", "instance={}", m_settings.id.value());
    return ExitOk;
}

} // namespace flamingo
