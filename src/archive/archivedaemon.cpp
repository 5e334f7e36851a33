#include "archive/archivedaemon.h"

#include "core/commandline.h"
#include "core/log.h"
#include "platform/recordcodec.h"

#include <csignal>

namespace flamingo
{

namespace
{
constexpr Milliseconds WatchTime{20000};
constexpr Milliseconds RetryDelay{500};
} // namespace

ArchiveDaemon::ArchiveDaemon(platform::BootSettings settings)
    : m_settings(std::move(settings))
    , m_store(m_loop.context(), m_settings.store, m_metrics)
    , m_signals(m_loop.context(), SIGTERM, SIGINT, SIGHUP)
{
}

int ArchiveDaemon::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    awaitSignals();
    readRetireRequest();
    logChange("started", "instance={} domain={} version={}", m_settings.instance.value(), m_settings.domain.value(), FLAMINGO_VERSION);
    m_loop.run();
    logChange("stopped", "instance={}", m_settings.instance.value());
    return ExitOk;
}

void ArchiveDaemon::awaitSignals()
{
    m_signals.async_wait([this](const asio::error_code &ec, int signal) {
        if (ec) {
            return;
        }
        if (signal == SIGHUP) {
            awaitSignals();
        } else {
            m_loop.stop();
        }
    });
}

void ArchiveDaemon::readRetireRequest()
{
    const std::string key = platform::RetireRequestPrefix + m_settings.instance.value();
    m_store.list(key, {}, [this](const tl::expected<platform::StorePage, platform::StoreFailure> &page) {
        if (!page) {
            retryLater();
        } else if (page->items.empty()) {
            watchRetireRequest(page->at);
        } else {
            reportRetired(0);
        }
    });
}

void ArchiveDaemon::watchRetireRequest(platform::Revision after)
{
    const std::string key = platform::RetireRequestPrefix + m_settings.instance.value();
    m_store.watch(key, after, WatchTime, [this, after](const tl::expected<platform::StoreChanges, platform::StoreFailure> &changes) {
        if (!changes) {
            retryLater();
        } else if (changes->items.empty()) {
            watchRetireRequest(std::max(after, changes->at));
        } else {
            readRetireRequest();
        }
    });
}

void ArchiveDaemon::retryLater()
{
    m_loop.timers().at(std::chrono::steady_clock::now() + RetryDelay, [this](Instant) { readRetireRequest(); });
}

// Nothing lies on this machine that isn't in the store, so it is empty at once.
void ArchiveDaemon::reportRetired(platform::Revision statusRevision)
{
    const std::string key = platform::RetireStatusPrefix + m_settings.instance.value();
    platform::StoreTransaction transaction;
    transaction.expected.push_back({key, statusRevision});
    transaction.writes.push_back({key, platform::encodeRetireStatus(true)});
    m_store.commit(transaction, [this, statusRevision](const tl::expected<platform::TransactionResult, platform::StoreFailure> &result) {
        const bool isElsewhere = result && !result->isDone && !result->present.empty() && result->present.front().revision != statusRevision;
        if (isElsewhere && result->present.front().data != platform::encodeRetireStatus(true)) {
            reportRetired(result->present.front().revision);
        } else if (result) {
            logChange("retired", "instance={}", m_settings.instance.value());
        } else {
            retryLater();
        }
    });
}

} // namespace flamingo
