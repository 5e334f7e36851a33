#include "entry/entrydaemon.h"

#include "core/commandline.h"
#include "core/digest.h"
#include "core/log.h"
#include "core/stopsignal.h"
#include "http/errorbody.h"

#include <fmt/format.h>

#include <future>
#include <thread>

namespace flamingo
{

namespace
{
constexpr Milliseconds TimerPeriod{10};
constexpr Milliseconds SubscribePeriod{500};
constexpr Milliseconds DrainCheckPeriod{50};
/// Wait after the last answer, so that it is sent before the connections close.
constexpr Milliseconds DrainFlushTime{300};
constexpr std::size_t HttpThreads = 2;
/// A body over the limit gets an error answer; for one that is larger than the limit by this factor, the connection is closed.
constexpr std::size_t HardBodyLimitFactor = 4;
} // namespace

EntryDaemon::EntryDaemon(const InstanceSettings &settings)
    : m_settings(settings)
    , m_core(
          EntrySettings{settings.id, settings.domain, settings.shardCount, settings.ownerWait},
          m_metrics,
          [this](const std::string &address, const PeerMessage &message) { return m_peerTransport->sendTo(address, message); },
          stableHash(settings.id.value(), createIncarnation()))
    , m_api(m_core, m_metrics, settings.defaultDeadline)
    , m_coreThread("decisions")
{
}

void EntryDaemon::updateTime()
{
    const Instant now = std::chrono::steady_clock::now();
    m_core.setTime(now);
    m_api.setTime(now);
}

void EntryDaemon::postToCore(std::function<void()> task)
{
    m_coreThread.post([this, task = std::move(task)] {
        updateTime();
        task();
    });
}

void EntryDaemon::onHttpRequest(const HttpExchangePtr &exchange)
{
    if (exchange->path() == "/metrics") {
        exchange->respond(200, "text/plain", m_metrics.render());
        return;
    }
    if (exchange->body().size() > m_settings.maxBodyBytes) {
        m_metrics.addRefusal(ErrorKind::RequestTooLarge);
        respondError(*exchange, {ErrorKind::RequestTooLarge, fmt::format("the limit is {} bytes", m_settings.maxBodyBytes), std::nullopt});
        return;
    }
    const bool isQueued = m_coreThread.tryPost([this, exchange] {
        updateTime();
        if (exchange->path() == "/healthz") {
            const bool isServing = m_core.isReady() && !m_core.isDraining();
            exchange->respond(isServing ? 200 : 503, "text/plain", isServing ? "serving\n" : "not serving\n");
            return;
        }
        m_api.handle(exchange);
    });
    if (!isQueued) {
        m_metrics.addRefusal(ErrorKind::Overloaded);
        respondError(*exchange, {ErrorKind::Overloaded, "too many requests wait at this instance", Milliseconds(1000)});
    }
}

int EntryDaemon::run()
{
    PeerTransport::Settings transportSettings;
    transportSettings.secret = m_settings.peerSecret;
    transportSettings.heartbeatPeriod = m_settings.heartbeatPeriod;
    transportSettings.silenceTimeout = m_settings.silenceTimeout;
    m_peerTransport = std::make_unique<PeerTransport>(
        transportSettings,
        [this](LinkId from, PeerMessage message) {
            postToCore([this, from, message = std::move(message)] {
                if (std::holds_alternative<DrainInstance>(message)) {
                    m_core.drain();
                }
                m_core.onMessage(from, message);
            });
        },
        [this](LinkId down) {
            postToCore([this, down] {
                m_core.onLinkDown(down);
                if (down == m_controlLink) {
                    m_controlLink = 0;
                }
            });
        });
    const Instant now = std::chrono::steady_clock::now();
    m_coreThread.timers().every(now, TimerPeriod, [this](Instant) {
        updateTime();
        m_core.onTimer();
    });
    m_coreThread.timers().every(now, SubscribePeriod, [this](Instant) {
        if (m_controlLink == 0) {
            m_controlLink = m_peerTransport->sendTo(m_settings.controlPeer.text(), Subscribe{"entry"});
        }
    });
    m_coreThread.start();
    m_httpServer = std::make_unique<HttpServer>(
        HttpServer::Settings{m_settings.entryHttp.host, m_settings.entryHttp.port, HttpThreads, m_settings.maxBodyBytes * HardBodyLimitFactor},
        [this](const HttpExchangePtr &exchange) { onHttpRequest(exchange); });
    logChange("started", "instance={} domain={}", m_settings.id.value(), m_settings.domain.value());
    waitForStopSignal();
    waitForDrain();
    m_httpServer->stop();
    m_coreThread.stop();
    m_peerTransport->stop();
    logChange("stopped", "instance={}", m_settings.id.value());
    return ExitOk;
}

void EntryDaemon::waitForDrain()
{
    logChange("draining", "instance={}", m_settings.id.value());
    const Instant end = std::chrono::steady_clock::now() + m_settings.drainTimeout;
    bool isDrained = false;
    while (!isDrained && std::chrono::steady_clock::now() < end) {
        std::promise<bool> promise;
        m_coreThread.post([&] {
            m_core.drain();
            promise.set_value(m_core.pendingRequestCount() == 0);
        });
        isDrained = promise.get_future().get();
        std::this_thread::sleep_for(DrainCheckPeriod);
    }
    logChange("drained", "complete={}", isDrained);
    std::this_thread::sleep_for(DrainFlushTime);
}

} // namespace flamingo
