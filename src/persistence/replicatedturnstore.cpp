#include "persistence/replicatedturnstore.h"

#include "core/log.h"
#include "core/percentcoding.h"
#include "persistence/memberregistration.h"
#include "serving/archivemessages.h"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace flamingo
{

namespace
{
/// A whole failure domain may be lost, so one replica is never enough.
constexpr std::size_t MinReplicas = 2;
constexpr std::size_t MinDomains = 2;
constexpr Milliseconds ArchiveConnectTimeout{120};
/// An archive responds within a few milliseconds; after this time the turn is written to the store as well.
constexpr Milliseconds StoreFallbackDelay{120};
/// An archive that was paused, or waits for its disk, may still confirm a turn that the store didn't take. Callers wait for it, and
/// could have repeated the turn elsewhere by then, so this is short as well.
constexpr Milliseconds ArchiveSaveTimeout{500};
constexpr Milliseconds LookupTimeout{400};
constexpr std::size_t SparesFactor = 2;
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusPreconditionFailed = 412;

/// The store may still list an archive that was replaced under another name; both entries lead to the same disk.
std::vector<MemberRecord> withDistinctAddresses(const std::vector<MemberRecord> &archives)
{
    std::set<std::string> addresses;
    const auto isRepeated = [&](const MemberRecord &it) { return !addresses.insert(it.peerAddress.text()).second; };
    std::vector<MemberRecord> distinct;
    std::remove_copy_if(archives.begin(), archives.end(), std::back_inserter(distinct), isRepeated);
    return distinct;
}
} // namespace

struct ReplicatedTurnStore::PendingSave {
    PendingSave(asio::io_context &context, TurnRecordPtr turn, std::function<void(bool)> onSaved)
        : turn(std::move(turn))
        , onSaved(std::move(onSaved))
        , fallbackTimer(context)
    {
    }

    void finish(bool isDurable)
    {
        fallbackTimer.cancel();
        if (onSaved) {
            const auto handler = std::move(onSaved);
            onSaved = nullptr;
            handler(isDurable);
        }
    }

    TurnRecordPtr turn;
    std::function<void(bool)> onSaved;
    asio::steady_timer fallbackTimer;
    std::size_t confirmedReplicas = 0;
    std::set<DomainId> confirmedDomains;
    std::set<InstanceId> pendingArchives;
    std::set<InstanceId> lateArchives; ///< They are avoided for other turns, and may still confirm this one.
    std::optional<MemberListRevision> memberListRevision; ///< Of a mark, which isn't written to the store.
    bool isSentToStore = false;
    bool hasStoreFailed = false;
};

struct ReplicatedTurnStore::PendingLoad {
    RequestId id;
    std::function<void(TurnLookup)> onLoaded;
    std::set<InstanceId> queried;
    std::size_t pending = 0;
    TurnRecordPtr found;
    bool isAbsentEverywhere = true;
};

ReplicatedTurnStore::ReplicatedTurnStore(asio::io_context &context,
                                         MemberDirectory &members,
                                         ConnectionPool &links,
                                         platform::PlatformStore &platformStore,
                                         PlatformTurnStore &store,
                                         std::size_t toleratedMachineFailures)
    : m_context(context)
    , m_members(members)
    , m_links(links)
    , m_platformStore(platformStore)
    , m_store(store)
    , m_replicaCount(std::max(MinReplicas, toleratedMachineFailures + 1))
{
}

void ReplicatedTurnStore::save(const TurnRecordPtr &turn, std::function<void(bool)> onSaved)
{
    auto saving = std::make_shared<PendingSave>(m_context, turn, std::move(onSaved));
    const std::vector<MemberRecord> archives = chooseArchives(turn->id, true);
    if (archives.empty()) {
        saveToStore(saving);
        return;
    }
    sendToArchives(archives, saving);
}

void ReplicatedTurnStore::saveMark(const TurnRecordPtr &mark, MemberListRevision basedOn, std::function<void(bool)> onSaved)
{
    auto saving = std::make_shared<PendingSave>(m_context, mark, std::move(onSaved));
    saving->memberListRevision = basedOn;
    saving->hasStoreFailed = true;
    const std::vector<MemberRecord> archives = chooseArchives(mark->id, false);
    if (archives.empty()) {
        asio::post(m_context, [saving] { saving->finish(false); });
        return;
    }
    sendToArchives(archives, saving);
}

void ReplicatedTurnStore::loadMark(const RequestId &id, std::function<void(TurnLookup)> onLoaded)
{
    load(id, std::move(onLoaded));
}

void ReplicatedTurnStore::sendToArchives(const std::vector<MemberRecord> &archives, const std::shared_ptr<PendingSave> &saving)
{
    for (const MemberRecord &archive : archives) {
        saving->pendingArchives.insert(archive.id);
        // Further failures of an archive that is avoided already don't lengthen that.
        if (!m_members.isReachable(archive.id, std::chrono::steady_clock::now())) {
            saving->lateArchives.insert(archive.id);
        }
    }
    const TurnRecord &turn = *saving->turn;
    for (const MemberRecord &archive : archives) {
        ArchiveKeepRequest message{turn.id, turn.encode(), archive.id == archives.front().id, {}, saving->memberListRevision};
        for (const MemberRecord &other : archives) {
            if (other.id != archive.id) {
                message.otherReplicas.push_back(other.peerAddress.text());
            }
        }
        sendToArchive(archive, message.encode(), saving);
    }
    saving->fallbackTimer.expires_after(StoreFallbackDelay);
    saving->fallbackTimer.async_wait([this, saving](const asio::error_code &ec) {
        if (!ec) {
            onArchivesLate(saving);
        }
    });
}

bool ReplicatedTurnStore::hasEnoughArchives() const
{
    const std::vector<MemberRecord> archives = withDistinctAddresses(m_members.rankedListedArchives({}, std::chrono::steady_clock::now()));
    std::set<DomainId> domains;
    for (const MemberRecord &archive : archives) {
        domains.insert(archive.domain);
    }
    return archives.size() >= m_replicaCount && domains.size() >= MinDomains;
}

// Returns nothing if there aren't enough archives. In an outage of the store there is no other place for the turn, so archives that
// have just failed are tried as well, with one spare for each replica.
std::vector<MemberRecord> ReplicatedTurnStore::chooseArchives(const RequestId &turn, bool mayUseStore) const
{
    const Instant now = std::chrono::steady_clock::now();
    std::vector<MemberRecord> archives = withDistinctAddresses(m_members.rankedArchives(turn.value(), now));
    if (archives.size() >= m_replicaCount && archives[0].domain != archives[1].domain) {
        archives.resize(m_replicaCount);
        return archives;
    }
    if (mayUseStore && !m_platformStore.hasRecentFailure()) {
        return {};
    }
    archives = withDistinctAddresses(m_members.rankedListedArchives(turn.value(), now));
    archives.resize(std::min(archives.size(), SparesFactor * m_replicaCount));
    return archives;
}

void ReplicatedTurnStore::sendToArchive(const MemberRecord &archive, const std::string &message, const std::shared_ptr<PendingSave> &saving)
{
    InternalRequest call;
    call.address = archive.peerAddress;
    call.method = "POST";
    call.target = ArchiveKeepPath;
    call.body = message;
    call.connectTimeout = ArchiveConnectTimeout;
    call.responseTimeout = ArchiveSaveTimeout;
    sendInternalRequest(
        m_context, m_links, std::move(call), [this, saving, id = archive.id, domain = archive.domain](const std::optional<InternalResponse> &answer) {
            saving->pendingArchives.erase(id);
            if (answer && answer->status == StatusOk) {
                ++saving->confirmedReplicas;
                saving->confirmedDomains.insert(domain);
                m_members.recordSuccess(id);
            } else if (answer && answer->status == StatusPreconditionFailed) {
                logChange("mark-refused", "archive={} list_revision={}", id.value(), saving->memberListRevision.value_or(MemberListRevision()).value());
            } else {
                onArchiveUnreachable(saving, id);
                saveToStore(saving);
            }
            finishIfDecided(saving);
        });
}

void ReplicatedTurnStore::onArchivesLate(const std::shared_ptr<PendingSave> &saving)
{
    for (const InstanceId &archive : saving->pendingArchives) {
        onArchiveUnreachable(saving, archive);
    }
    saveToStore(saving);
}

void ReplicatedTurnStore::onArchiveUnreachable(const std::shared_ptr<PendingSave> &saving, const InstanceId &archive)
{
    if (saving->lateArchives.insert(archive).second) {
        m_members.recordFailure(archive, std::chrono::steady_clock::now());
        logChange("archive-unreachable", "archive={} turn={}", archive.value(), saving->turn->id.value());
    }
}

void ReplicatedTurnStore::finishIfDecided(const std::shared_ptr<PendingSave> &saving) const
{
    const bool areEnough = saving->confirmedReplicas >= m_replicaCount && saving->confirmedDomains.size() >= MinDomains;
    if (areEnough) {
        saving->finish(true);
    } else if (saving->hasStoreFailed && saving->pendingArchives.empty()) {
        saving->finish(false);
    }
}

void ReplicatedTurnStore::saveToStore(const std::shared_ptr<PendingSave> &saving)
{
    if (saving->isSentToStore || saving->memberListRevision) {
        return;
    }
    saving->isSentToStore = true;
    m_store.save(saving->turn, [this, saving](bool isDurable) {
        saving->hasStoreFailed = !isDurable;
        if (isDurable) {
            saving->finish(true);
        } else {
            finishIfDecided(saving);
        }
    });
}

void ReplicatedTurnStore::load(const RequestId &id, std::function<void(TurnLookup)> onLoaded)
{
    m_store.load(id, [this, id, onLoaded = std::move(onLoaded)](const TurnLookup &lookup) {
        if (lookup.status == TurnLookup::Status::Found) {
            onLoaded(lookup);
            return;
        }
        auto loading = std::make_shared<PendingLoad>();
        loading->id = id;
        loading->onLoaded = onLoaded;
        queryArchives(loading);
    });
}

void ReplicatedTurnStore::onArchivesAnswered(const std::shared_ptr<PendingLoad> &loading)
{
    if (loading->found) {
        loading->onLoaded({TurnLookup::Status::Found, loading->found});
        return;
    }
    if (loading->isAbsentEverywhere && m_members.isLoaded()) {
        checkAllArchivesQueried(loading);
    } else {
        recheckStore(loading, false);
    }
}

// This instance's own member list may lack an archive that has just registered.
void ReplicatedTurnStore::checkAllArchivesQueried(const std::shared_ptr<PendingLoad> &loading)
{
    readMembers(m_platformStore, [this, loading](const std::optional<std::vector<MemberRecord>> &members) {
        const auto isQueried = [&](const MemberRecord &it) { return it.role != MemberRecord::Role::Archive || loading->queried.count(it.id) != 0; };
        const bool areAllQueried = members && std::all_of(members->begin(), members->end(), isQueried);
        if (!areAllQueried) {
            logChange("archives-not-all-queried", "turn={} listed={}", loading->id.value(), members.has_value());
        }
        recheckStore(loading, areAllQueried);
    });
}

// Turns move from the archives to the store, so only a store lookup after all others can show that a turn is absent.
void ReplicatedTurnStore::recheckStore(const std::shared_ptr<PendingLoad> &loading, bool isCertain)
{
    m_store.load(loading->id, [loading, isCertain](TurnLookup lookup) {
        if (lookup.status == TurnLookup::Status::Absent && !isCertain) {
            lookup.status = TurnLookup::Status::Unknown;
        }
        loading->onLoaded(lookup);
    });
}

void ReplicatedTurnStore::queryArchives(const std::shared_ptr<PendingLoad> &loading)
{
    const std::vector<MemberRecord> archives = m_members.archives();
    loading->pending = archives.size();
    if (archives.empty()) {
        onArchivesAnswered(loading);
        return;
    }
    for (const MemberRecord &archive : archives) {
        loading->queried.insert(archive.id);
        InternalRequest call;
        call.address = archive.peerAddress;
        call.target = ArchiveLookupPath + percentEncode(loading->id.value());
        call.responseTimeout = LookupTimeout;
        sendInternalRequest(m_context, m_links, std::move(call), [this, loading](const std::optional<InternalResponse> &answer) {
            auto turn = answer && answer->status == StatusOk ? TurnRecord::decode(loading->id, answer->body) : std::nullopt;
            if (turn) {
                loading->found = std::make_shared<const TurnRecord>(std::move(*turn));
            }
            loading->isAbsentEverywhere = loading->isAbsentEverywhere && answer && answer->status == StatusNotFound;
            if (--loading->pending == 0) {
                onArchivesAnswered(loading);
            }
        });
    }
}

} // namespace flamingo
