#pragma once

#include "archive/turnlog.h"
#include "core/eventloop.h"
#include "core/metrics.h"
#include "http/connectionset.h"
#include "http/simplecall.h"
#include "persistence/budgetandturnstores.h"
#include "persistence/memberregistration.h"
#include "platform/bootsettingsfile.h"
#include "platform/platformstore.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace flamingo
{

/// A machine with a disk: keeps turns until it has brought them to the platform's store. It decides nothing, and it can
/// be emptied, wiped or lost, since each turn lies on more archives than may be lost at once until it is in the store.
class ArchiveDaemon
{
public:
    explicit ArchiveDaemon(platform::BootSettings settings);

    /// Runs until it has been told to stop and has brought its turns to the store. Returns the exit code.
    int run();

private:
    void listen();
    void awaitSignals();
    void reloadSettings();
    void onRequest(const ServerConnectionPtr &connection, const ServerRequest &request);
    void onKeep(const ServerConnectionPtr &connection, const std::string &body);
    void onLookup(const ServerConnectionPtr &connection, const RequestId &id);
    void onForget(const ServerConnectionPtr &connection, const std::string &body);
    void onMetrics(const ServerConnectionPtr &connection);
    void syncAndAnswer();

    void bringToStore(Instant now);
    void onBrought(const std::vector<RequestId> &turns);
    void forget(const RequestId &id);

    void enterFleet();
    void giveSign();
    void readRetireRequest();
    void watchRetireRequest(platform::Revision after);
    void retryLater();
    void beginEmptying();
    void checkEmptied(Instant now);
    void reportRetired();

    platform::BootSettings m_settings;
    platform::BootSettingsFile m_settingsFile;
    EventLoop m_loop;
    Metrics m_metrics;
    platform::PlatformStore m_store;
    MemberRegistration m_entry;
    IncarnationId m_holder;
    PlatformTurnStore m_turnStore;
    LinkPool m_links;
    asio::signal_set m_signals;
    std::unique_ptr<TurnLog> m_log;
    std::unique_ptr<ConnectionSet> m_server;
    std::unique_ptr<ConnectionSet> m_metricsPage;
    std::unordered_map<RequestId, Instant> m_keptSince;
    std::vector<ServerConnectionPtr> m_unsynced; ///< To be answered after the next sync.
    bool m_isBringing = false;
    bool m_isEmptying = false;
    bool m_isRetiring = false;
    bool m_hasLeft = false;
    std::optional<Instant> m_stoppingSince;
};

} // namespace flamingo
