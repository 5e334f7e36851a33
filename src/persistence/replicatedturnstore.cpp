#include "persistence/replicatedturnstore.h"

#include "core/log.h"
#include "core/percentcoding.h"
#include "persistence/memberregistration.h"
#include "serving/archivemessages.h"

#include <algorithm>
#include <optional>
#include <set>
#include <vector>

namespace flamingo
{

namespace
{
/// A whole failure domain may be lost, so one replica is never enough.
constexpr std::size_t MinReplicas = 2;
/// An archive responds within a few milliseconds; after this time the turn is written to the store as well.
constexpr Milliseconds SaveTimeout{120};
constexpr Milliseconds LookupTimeout{400};
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
} // namespace

struct ReplicatedTurnStore::PendingSave {
    TurnRecordPtr turn;
    std::function<void(bool)> onSaved;
    std::size_t confirmedReplicas = 0;
    std::size_t pending = 0;
    bool isSentToStore = false;

    void finish(bool isDurable)
    {
        if (onSaved) {
            const auto handler = std::move(onSaved);
            onSaved = nullptr;
            handler(isDurable);
        }
    }
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
    auto saving = std::make_shared<PendingSave>();
    saving->turn = turn;
    saving->onSaved = std::move(onSaved);
    const std::vector<MemberRecord> archives = m_members.rankedArchives(turn->id.value(), std::chrono::steady_clock::now());
    const bool hasEnoughArchives = archives.size() >= m_replicaCount && archives[0].domain != archives[1].domain;
    if (!hasEnoughArchives) {
        saveToStore(saving);
        return;
    }
    saving->pending = m_replicaCount;
    ArchiveKeepRequest message{turn->id, turn->encode(), true, {}};
    for (std::size_t n = 0; n < m_replicaCount; ++n) {
        message.isPrimary = n == 0;
        message.otherReplicas.clear();
        for (std::size_t other = 0; other < m_replicaCount; ++other) {
            if (other != n) {
                message.otherReplicas.push_back(archives[other].peerAddress.text());
            }
        }
        sendToArchive(archives[n], message.encode(), saving);
    }
}

void ReplicatedTurnStore::sendToArchive(const MemberRecord &archive, const std::string &message, const std::shared_ptr<PendingSave> &saving)
{
    InternalRequest call;
    call.address = archive.peerAddress;
    call.method = "POST";
    call.target = ArchiveKeepPath;
    call.body = message;
    call.connectTimeout = SaveTimeout;
    call.responseTimeout = SaveTimeout;
    sendInternalRequest(m_context, m_links, std::move(call), [this, saving, id = archive.id](const std::optional<InternalResponse> &answer) {
        --saving->pending;
        const bool isStored = answer && answer->status == StatusOk;
        saving->confirmedReplicas += isStored ? 1 : 0;
        if (isStored) {
            m_members.recordSuccess(id);
        } else {
            m_members.recordFailure(id, std::chrono::steady_clock::now());
            logChange("archive-unreachable", "archive={} turn={}", id.value(), saving->turn->id.value());
            saveToStore(saving);
        }
        if (saving->confirmedReplicas == m_replicaCount) {
            saving->finish(true);
        }
    });
}

void ReplicatedTurnStore::saveToStore(const std::shared_ptr<PendingSave> &saving)
{
    if (saving->isSentToStore) {
        return;
    }
    saving->isSentToStore = true;
    m_store.save(saving->turn, [saving](bool isDurable) { saving->finish(isDurable); });
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
