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
        perform(action);
    }
}

void ControlDaemon::perform(ControlAction &action)
{
    std::visit(Visitors{[this](SendGossip &send) { m_gossip->send(send.address, encodeGossip(send.message)); },
                        [this](SendOnControlLink &send) { m_peerLink->send(send.link, send.message); },
                        [this](SendToControlPeer &send) { m_peerLink->sendTo(send.address, send.message); },
                        [this](CallConfigStore &call) {
                            m_store->perform(call.operation,
                                             [this](StoreReply reply) { postToCore([this, reply = std::move(reply)] { m_core.onStoreReply(reply); }); });
                        },
                        [this](WatchConfig &watch) {
                            m_store->watch(ConfigurationReplica::watchPrefix(), watch.afterRevision, [this](WatchResult result) {
                                postToCore([this, result = std::move(result)] { m_core.onConfigurationChanges(result); });
                            });
                        },
                        [this](WatchEndpoints &watch) {
                            m_store->watchEndpoints(watch.afterRevision, [this](EndpointChanges changes) {
                                postToCore([this, changes = std::move(changes)] { m_core.onEndpointChanges(changes); });
                            });
                        }},
               action);
}

void ControlDaemon::openConnections()
{
    m_store = std::make_unique<JournalStore>(m_settings.platformAddress, m_metrics);
    m_gossip = std::make_unique<GossipSocket>(m_settings.controlGossip.host, m_settings.controlGossip.port, m_settings.peerSecret, [this](std::string payload) {
        postToCore([this, payload = std::move(payload)] {
            if (const auto message = decodeGossip(payload)) {
                m_core.onGossip(*message);
            }
        });
    });
    PeerTransport::Settings link;
    link.listenAddress = m_settings.controlPeer.host;
    link.listenPort = m_settings.controlPeer.port;
    link.secret = m_settings.peerSecret;
    link.heartbeatPeriod = m_settings.heartbeatPeriod;
    link.silenceTimeout = m_settings.silenceTimeout;
    link.idleTimeout = Milliseconds(5000);
    m_peerLink = std::make_unique<PeerTransport>(
        link,
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
        m_metrics.setGauge("flamingo_peer_bytes_sent", {}, static_cast<double>(m_peerLink->bytesSent()));
        m_metrics.setGauge("flamingo_peer_bytes_received", {}, static_cast<double>(m_peerLink->bytesReceived()));
    });
}

int ControlDaemon::run()
{
    openConnections();
    startTimers();
    m_coreThread.start();
    m_http = std::make_unique<HttpServer>(HttpServer::Settings{m_settings.controlHttp.host, m_settings.controlHttp.port, 1, m_settings.maxBodyBytes},
                                          [this](const HttpExchangePtr &exchange) { m_api.handle(exchange); });
    logChange("started", "instance={} domain={}", m_settings.id.value(), m_settings.domain.value());
    waitForStopSignal();
    m_http->stop();
    m_coreThread.stop();
    m_peerLink->stop();
    m_gossip.reset();
    m_store.reset();
    logChange("stopped", "instance={}", m_settings.id.value());
    return ExitOk;
}

} // namespace flamingo
