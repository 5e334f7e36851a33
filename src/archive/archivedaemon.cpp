#include "archive/archivedaemon.h"

#include "core/commandline.h"
#include "core/log.h"
#include "core/percentcoding.h"
#include "platform/recordcodec.h"
#include "serving/livenesstracker.h"

#include <algorithm>
#include <csignal>
#include <iterator>

namespace flamingo
{

namespace
{
constexpr Milliseconds WatchTimeout{20000};
constexpr Milliseconds RetryDelay{500};
constexpr Milliseconds UploadPeriod{1000};
/// An archive that isn't the turn's primary one waits this long for the primary to upload the turn.
constexpr Milliseconds BackupUploadDelay{3000};
constexpr Milliseconds DrainCheckPeriod{100};
constexpr Milliseconds KillMargin{500};
constexpr Milliseconds HousekeepingPeriod{5000};
constexpr std::size_t MaxIdleConnectionsPerPeer = 2;
constexpr Milliseconds PeerAckTimeout{800};

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusPreconditionFailed = 412;
constexpr int StatusUnavailable = 503;
} // namespace

ArchiveDaemon::ArchiveDaemon(platform::BootSettings settings)
    : m_settings(std::move(settings))
    , m_settingsFile(m_settings.path)
    , m_store(m_loop.context(), m_settings.storeAddress, m_metrics)
    , m_registration(m_store, m_settings.instance)
    , m_incarnation(newIncarnationId(m_settings.instance))
    , m_turnStore(m_store, m_incarnation, m_settings.storeValueBytes)
    , m_peerConnections(m_loop.context(), {MaxIdleConnectionsPerPeer, PeerAckTimeout})
    , m_signals(m_loop.context(), SIGTERM, SIGINT, SIGHUP)
{
}

int ArchiveDaemon::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    awaitSignals();
    const Instant now = std::chrono::steady_clock::now();
    if (!m_settings.dataFolder.empty()) {
        m_segmentFolder = std::make_unique<DiskSegmentFolder>(m_settings.dataFolder);
        m_turnLog = std::make_unique<TurnLog>(*m_segmentFolder);
        for (const RequestId &id : m_turnLog->turnIds()) {
            m_uploads.add(id, now, now);
        }
        listen();
        registerMember();
        m_loop.timers().every(now, UploadPeriod, [this](Instant at) { uploadTurns(at); });
        m_loop.timers().every(now, LivenessTracker::HeartbeatPeriod, [this](Instant) { onHeartbeatTimer(); });
    }
    m_loop.timers().every(now, HousekeepingPeriod, [this](Instant at) {
        reloadSettings();
        m_turnStore.removeExpired(at);
    });
    readRetireRequest();
    logChange("started",
              "instance={} domain={} version={} turns={}",
              m_settings.instance.value(),
              m_settings.domain.value(),
              FLAMINGO_VERSION,
              m_turnLog ? m_turnLog->size() : 0);
    m_loop.run();
    logChange("stopped", "instance={} turns={}", m_settings.instance.value(), m_turnLog ? m_turnLog->size() : 0);
    return ExitOk;
}

void ArchiveDaemon::listen()
{
    const auto limits = [] { return ConnectionLimits(); };
    const auto ip = asio::ip::make_address(m_settings.ip);
    m_turnServer = std::make_unique<ConnectionSet>(
        m_loop.context(),
        asio::ip::tcp::endpoint(ip, m_settings.firstInternalPort),
        [this](const ServerConnectionPtr &connection, const ServerRequest &request) { onRequest(connection, request); },
        limits);
    m_metricsServer = std::make_unique<ConnectionSet>(
        m_loop.context(),
        asio::ip::tcp::endpoint(ip, platform::MetricsPort),
        [this](const ServerConnectionPtr &connection, const ServerRequest &) { onMetricsRequest(connection); },
        limits);
}

void ArchiveDaemon::awaitSignals()
{
    m_signals.async_wait([this](const asio::error_code &ec, int signal) {
        if (ec) {
            return;
        }
        if (signal == SIGHUP) {
            reloadSettings();
        } else if (!m_stoppingSince) {
            m_stoppingSince = std::chrono::steady_clock::now();
            logChange("stopping", "turns={}", m_turnLog ? m_turnLog->size() : 0);
            beginDrain();
        }
        awaitSignals();
    });
}

// Addresses and the data folder are read at the start only.
void ArchiveDaemon::reloadSettings()
{
    if (const auto settings = m_settingsFile.reloadIfChanged()) {
        m_settings.stopGracePeriod = settings->stopGracePeriod;
        logChange("reloaded", "grace_ms={}", m_settings.stopGracePeriod.count());
    }
}

void ArchiveDaemon::onRequest(const ServerConnectionPtr &connection, const ServerRequest &request)
{
    const std::string &target = request.head.target;
    const std::string_view lookup = ArchiveLookupPath;
    if (target == ArchiveKeepPath) {
        onKeepTurn(connection, request.body);
    } else if (target == ArchiveForgetPath) {
        onForgetTurns(connection, request.body);
    } else if (target == ArchiveFencePath) {
        onFenceMarks(connection, request.body);
    } else if (target.compare(0, lookup.size(), lookup) == 0) {
        onLookUpTurn(connection, RequestId(percentDecode(target.substr(lookup.size())).value_or(std::string())));
    } else {
        connection->respond(StatusNotFound, {}, {});
    }
}

void ArchiveDaemon::onKeepTurn(const ServerConnectionPtr &connection, const std::string &body)
{
    const auto turn = ArchiveKeepRequest::decode(body);
    if (!turn || m_isDraining) {
        connection->respond(turn ? StatusUnavailable : StatusBadRequest, {}, {});
        return;
    }
    if (turn->memberListRevision && !m_markFence.admits(*turn->memberListRevision)) {
        logChange("mark-refused", "list_revision={}", turn->memberListRevision->value());
        connection->respond(StatusPreconditionFailed, {}, {});
        return;
    }
    if (!m_turnLog->append(*turn)) {
        connection->respond(StatusUnavailable, {}, {});
        return;
    }
    const Instant now = std::chrono::steady_clock::now();
    m_uploads.add(turn->id, now, turn->isPrimary ? now : now + BackupUploadDelay);
    m_metrics.add("flamingo_archive_turns_total");
    // Turns that arrive together share one sync.
    if (m_awaitingSync.empty()) {
        asio::post(m_loop.context(), [this] { syncAndRespond(); });
    }
    m_awaitingSync.push_back({connection, turn->id});
}

void ArchiveDaemon::syncAndRespond()
{
    m_turnLog->sync();
    for (const WaitingSender &sender : std::exchange(m_awaitingSync, {})) {
        // A turn that was removed meanwhile is in the store.
        const bool isKept = m_turnLog->isSynced(sender.turn) || !m_turnLog->find(sender.turn);
        sender.connection->respond(isKept ? StatusOk : StatusUnavailable, {}, {});
    }
}

void ArchiveDaemon::onLookUpTurn(const ServerConnectionPtr &connection, const RequestId &id)
{
    const ArchiveKeepRequest *turn = m_turnLog->find(id);
    connection->respond(turn ? StatusOk : StatusNotFound, {}, turn ? turn->record : std::string());
}

void ArchiveDaemon::onForgetTurns(const ServerConnectionPtr &connection, const std::string &body)
{
    const auto message = ArchiveForgetRequest::decode(body);
    if (message) {
        for (const RequestId &id : message->turns) {
            removeTurn(id);
        }
    }
    connection->respond(message ? StatusOk : StatusBadRequest, {}, {});
}

void ArchiveDaemon::onFenceMarks(const ServerConnectionPtr &connection, const std::string &body)
{
    const auto message = ArchiveFenceRequest::decode(body);
    if (message) {
        m_markFence.raise(message->revision);
    }
    connection->respond(message ? StatusOk : StatusBadRequest, {}, {});
}

void ArchiveDaemon::onMetricsRequest(const ServerConnectionPtr &connection)
{
    m_metrics.setGauge("flamingo_archive_turns_set_aside", {}, static_cast<double>(m_uploads.setAsideCount()));
    m_metrics.setGauge("flamingo_archive_records_unreadable", {}, static_cast<double>(m_turnLog->unreadableRecords()));
    m_metrics.setGauge("flamingo_archive_turns", {}, static_cast<double>(m_turnLog->size()));
    connection->respond(StatusOk, {}, m_metrics.render());
}

void ArchiveDaemon::removeTurn(const RequestId &id)
{
    m_turnLog->remove(id);
    m_uploads.remove(id);
}

void ArchiveDaemon::uploadTurns(Instant now)
{
    if (m_isUploading || !m_turnLog) {
        return;
    }
    TurnBatch batch = m_turnStore.emptyBatch();
    const std::vector<RequestId> waiting = m_uploads.nextTurns(now, m_isDraining);
    for (const RequestId &id : waiting) {
        const ArchiveKeepRequest *turn = m_turnLog->find(id);
        if (turn && !batch.tryAdd(id, turn->record)) {
            break;
        }
    }
    if (batch.turns().empty()) {
        return;
    }
    m_isUploading = true;
    // Turns that don't wait for the next period: there are more than fit into a batch, or the archive has to get empty.
    const bool hasMore = m_isDraining || batch.turns().size() < waiting.size();
    m_turnStore.saveBatch(batch, [this, turns = batch.turns(), hasMore](PlatformTurnStore::SaveResult result) {
        m_isUploading = false;
        onUploadEnded(turns, result);
        if (hasMore && result != PlatformTurnStore::SaveResult::Failed) {
            uploadTurns(std::chrono::steady_clock::now());
        }
    });
}

void ArchiveDaemon::onUploadEnded(const std::vector<BatchedTurn> &turns, PlatformTurnStore::SaveResult result)
{
    if (result == PlatformTurnStore::SaveResult::Failed) {
        return;
    }
    if (result == PlatformTurnStore::SaveResult::Saved) {
        onTurnsUploaded(turns);
    } else {
        std::vector<RequestId> ids;
        std::transform(turns.begin(), turns.end(), std::back_inserter(ids), [](const BatchedTurn &it) { return it.id; });
        m_uploads.onRejected(ids, std::chrono::steady_clock::now());
        logChange(ids.size() == 1 ? "turn-set-aside" : "turns-rejected-together", "turn={} turns={}", ids.front().value(), ids.size());
        m_metrics.add("flamingo_archive_rejections_total");
    }
}

void ArchiveDaemon::onTurnsUploaded(const std::vector<BatchedTurn> &turns)
{
    std::map<std::string, ArchiveForgetRequest> forgetMessages;
    for (const BatchedTurn &uploaded : turns) {
        const RequestId &id = uploaded.id;
        const ArchiveKeepRequest *turn = m_turnLog->find(id);
        for (const std::string &other : turn ? turn->otherReplicas : std::vector<std::string>()) {
            forgetMessages[other].turns.push_back(id);
        }
        removeTurn(id);
    }
    for (const auto &[archive, message] : forgetMessages) {
        const auto address = parseSocketAddress(archive);
        if (!address) {
            continue;
        }
        InternalRequest call;
        call.address = *address;
        call.method = "POST";
        call.target = ArchiveForgetPath;
        call.body = message.encode();
        sendInternalRequest(m_loop.context(), m_peerConnections, std::move(call), [archive = archive](const std::optional<InternalResponse> &response) {
            if (!response) {
                // The other archive uploads its copy once more, which is idempotent.
                logChange("other-archive-unreachable", "archive={}", archive);
            }
        });
    }
}

void ArchiveDaemon::registerMember()
{
    if (m_isDeregistrationRequested) {
        return;
    }
    const SocketAddress address{m_settings.ip, m_settings.firstInternalPort};
    const MemberRecord member{m_settings.instance, m_settings.domain, address, m_incarnation, MemberRecord::Role::Archive};
    m_store.commit(m_registration.registrationTransaction(member, m_settings.instance.value()),
                   [this](const tl::expected<platform::TransactionResult, platform::StoreFailure> &result) {
                       if (result) {
                           m_markFence.setRegistered(MemberListRevision(result->revision));
                       } else if (!m_isDraining) {
                           logChange("registration-failed", "reason=\"{}\"", result.error().detail);
                           m_loop.timers().at(std::chrono::steady_clock::now() + RetryDelay, [this](Instant) { registerMember(); });
                       }
                   });
}

// Other members may have presumed this archive dead while it couldn't reach the store; it then registers again.
void ArchiveDaemon::onHeartbeatTimer()
{
    const std::string key = MemberDirectory::KeyPrefix + m_settings.instance.value();
    m_store.read(key, [this](const tl::expected<platform::StoreItem, platform::StoreFailure> &item) {
        if (!item || m_isDeregistrationRequested) {
            return;
        }
        const auto member = MemberRecord::decode(m_settings.instance, item->data);
        if (!member || member->isPresumedDead) {
            registerMember();
        } else {
            m_registration.sendHeartbeat();
        }
    });
}

void ArchiveDaemon::readRetireRequest()
{
    const std::string key = platform::RetireRequestPrefix + m_settings.instance.value();
    m_store.list(key, {}, [this](const tl::expected<platform::StorePage, platform::StoreFailure> &page) {
        if (!page) {
            scheduleRetireRequestRead();
        } else if (page->items.empty()) {
            watchRetireRequest(page->revision);
        } else {
            logChange("retiring", "turns={}", m_turnLog ? m_turnLog->size() : 0);
            m_isRetireReportDue = true;
            beginDrain();
        }
    });
}

void ArchiveDaemon::watchRetireRequest(platform::Revision after)
{
    const std::string key = platform::RetireRequestPrefix + m_settings.instance.value();
    m_store.watch(key, after, WatchTimeout, [this, after](const tl::expected<platform::StoreChanges, platform::StoreFailure> &changes) {
        if (!changes) {
            scheduleRetireRequestRead();
        } else if (changes->items.empty()) {
            watchRetireRequest(std::max(after, changes->revision));
        } else {
            readRetireRequest();
        }
    });
}

void ArchiveDaemon::scheduleRetireRequestRead()
{
    m_loop.timers().at(std::chrono::steady_clock::now() + RetryDelay, [this](Instant) { readRetireRequest(); });
}

void ArchiveDaemon::beginDrain()
{
    if (m_isDraining) {
        return;
    }
    m_isDraining = true;
    uploadTurns(std::chrono::steady_clock::now());
    m_loop.timers().every(std::chrono::steady_clock::now(), DrainCheckPeriod, [this](Instant now) { checkDrain(now); });
}

void ArchiveDaemon::checkDrain(Instant now)
{
    const bool isEmpty = !m_turnLog || (m_turnLog->size() == 0 && m_awaitingSync.empty());
    // The archive stays listed while it holds turns, so that instances ask it for them.
    if (isEmpty && !m_isDeregistrationRequested) {
        m_isDeregistrationRequested = true;
        m_registration.deregister({});
    }
    if (m_stoppingSince && (isEmpty || now - *m_stoppingSince > m_settings.stopGracePeriod - KillMargin)) {
        m_loop.stop();
        return;
    }
    if (!isEmpty) {
        uploadTurns(now);
    } else if (m_isRetireReportDue) {
        m_isRetireReportDue = false;
        reportRetired();
    }
}

void ArchiveDaemon::reportRetired()
{
    platform::StoreTransaction transaction;
    transaction.writes.push_back({platform::RetireStatusPrefix + m_settings.instance.value(), platform::encodeRetireStatus(true)});
    m_store.commit(transaction, [this](const tl::expected<platform::TransactionResult, platform::StoreFailure> &result) {
        // Only this process writes the key, and always the same value, so writing it again is harmless.
        m_isRetireReportDue = !result;
        logChange(result ? "retired" : "retire-report-failed", "instance={}", m_settings.instance.value());
    });
}

} // namespace flamingo
