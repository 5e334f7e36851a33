#pragma once

#include "archive/disksegmentfolder.h"
#include "archive/turnlog.h"
#include "archive/uploadqueue.h"
#include "core/eventloop.h"
#include "core/metrics.h"
#include "http/connectionset.h"
#include "http/internalrequest.h"
#include "persistence/memberregistration.h"
#include "persistence/platformturnstore.h"
#include "platform/bootsettingsfile.h"
#include "platform/platformstore.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace flamingo
{

/// The daemon of a machine with a disk. It keeps turns until it has uploaded them to the platform's store. It makes no
/// scheduling decisions, and it can be drained, wiped or lost, since until a turn is in the store, more archives keep a
/// copy of it than may be lost at once.
class ArchiveDaemon
{
public:
    explicit ArchiveDaemon(platform::BootSettings settings);

    /// Runs until a stop signal has arrived and the turns have been uploaded, or the stop grace period is over. Returns the
    /// exit code.
    int run();

private:
    struct WaitingSender {
        ServerConnectionPtr connection;
        RequestId turn;
    };

    void listen();
    void awaitSignals();
    void reloadSettings();
    void onRequest(const ServerConnectionPtr &connection, const ServerRequest &request);
    void onKeepTurn(const ServerConnectionPtr &connection, const std::string &body);
    void onLookUpTurn(const ServerConnectionPtr &connection, const RequestId &id);
    void onForgetTurns(const ServerConnectionPtr &connection, const std::string &body);
    void onFenceMarks(const ServerConnectionPtr &connection, const std::string &body);
    void onMetricsRequest(const ServerConnectionPtr &connection);
    void syncAndRespond();

    void uploadTurns(Instant now);
    void onUploadEnded(const std::vector<BatchedTurn> &turns, PlatformTurnStore::SaveResult result);
    void onTurnsUploaded(const std::vector<BatchedTurn> &turns);
    void removeTurn(const RequestId &id);

    void registerMember();
    void onHeartbeatTimer();
    void readRetireRequest();
    void watchRetireRequest(platform::Revision after);
    void scheduleRetireRequestRead();
    void beginDrain();
    void checkDrain(Instant now);
    void reportRetired();

    platform::BootSettings m_settings;
    platform::BootSettingsFile m_settingsFile;
    EventLoop m_loop;
    Metrics m_metrics;
    platform::PlatformStore m_store;
    MemberRegistration m_registration;
    IncarnationId m_incarnation;
    PlatformTurnStore m_turnStore;
    ConnectionPool m_peerConnections;
    asio::signal_set m_signals;
    std::unique_ptr<DiskSegmentFolder> m_segmentFolder;
    std::unique_ptr<TurnLog> m_turnLog;
    std::unique_ptr<ConnectionSet> m_turnServer;
    std::unique_ptr<ConnectionSet> m_metricsServer;
    UploadQueue m_uploads;
    MarkFence m_markFence;
    std::vector<WaitingSender> m_awaitingSync; ///< Get their response after the next sync.
    bool m_isUploading = false;
    bool m_isDraining = false;
    bool m_isRetireReportDue = false;
    bool m_isDeregistrationRequested = false;
    std::optional<Instant> m_stoppingSince;
};

} // namespace flamingo
