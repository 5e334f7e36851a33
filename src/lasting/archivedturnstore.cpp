#include "lasting/archivedturnstore.h"

#include "core/log.h"
#include "lasting/memberentry.h"
#include "serving/archivemessages.h"

#include <algorithm>
#include <optional>
#include <set>
#include <vector>

namespace flamingo
{

namespace
{
/// A failure domain may be lost as well, so one copy is never enough.
constexpr std::size_t LeastCopies = 2;
/// An archive answers within a few milliseconds; after this long the store is used as well.
constexpr Milliseconds ArchiveLimit{120};
constexpr Milliseconds LookupLimit{400};
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
} // namespace

struct ArchivedTurnStore::Saving {
    TurnRecordPtr turn;
    std::function<void(bool)> onSaved;
    std::size_t copies = 0;
    std::size_t pending = 0;
    bool isAtStore = false;

    void done(bool isKept)
    {
        if (onSaved) {
            const auto handler = std::move(onSaved);
            onSaved = nullptr;
            handler(isKept);
        }
    }
};

struct ArchivedTurnStore::Loading {
    RequestId id;
    std::function<void(TurnLookup)> onLoaded;
    std::set<InstanceId> asked;
    std::size_t pending = 0;
    TurnRecordPtr found;
    bool areAllAbsent = true;
};

ArchivedTurnStore::ArchivedTurnStore(asio::io_context &context,
                                     Fleet &fleet,
                                     LinkPool &links,
                                     platform::PlatformStore &platformStore,
                                     PlatformTurnStore &store,
                                     std::size_t toleratedMachines)
    : m_context(context)
    , m_fleet(fleet)
    , m_links(links)
    , m_platformStore(platformStore)
    , m_store(store)
    , m_copiesWanted(std::max(LeastCopies, toleratedMachines + 1))
{
}

void ArchivedTurnStore::save(const TurnRecordPtr &turn, std::function<void(bool)> onSaved)
{
    auto saving = std::make_shared<Saving>();
    saving->turn = turn;
    saving->onSaved = std::move(onSaved);
    const std::vector<FleetMember> archives = m_fleet.archivesFor(turn->id.value(), std::chrono::steady_clock::now());
    const bool hasEnough = archives.size() >= m_copiesWanted && archives[0].domain != archives[1].domain;
    if (!hasEnough) {
        toStore(saving);
        return;
    }
    saving->pending = m_copiesWanted;
    ArchiveTurn message{turn->id, turn->encode(), true, {}};
    for (std::size_t n = 0; n < m_copiesWanted; ++n) {
        message.isFirst = n == 0;
        message.otherArchives.clear();
        for (std::size_t other = 0; other < m_copiesWanted; ++other) {
            if (other != n) {
                message.otherArchives.push_back(archives[other].peers.text());
            }
        }
        keep(archives[n], message.encode(), saving);
    }
}

void ArchivedTurnStore::keep(const FleetMember &archive, const std::string &message, const std::shared_ptr<Saving> &saving)
{
    SimpleCall call;
    call.address = archive.peers;
    call.method = "POST";
    call.target = ArchiveKeepPath;
    call.body = message;
    call.connectLimit = ArchiveLimit;
    call.answerLimit = ArchiveLimit;
    sendSimpleCall(m_context, m_links, std::move(call), [this, saving, id = archive.id](const std::optional<SimpleAnswer> &answer) {
        --saving->pending;
        const bool isKept = answer && answer->status == StatusOk;
        saving->copies += isKept ? 1 : 0;
        if (isKept) {
            m_fleet.markUp(id);
        } else {
            m_fleet.markDown(id, std::chrono::steady_clock::now());
            logChange("archive-unreachable", "archive={} turn={}", id.value(), saving->turn->id.value());
            toStore(saving);
        }
        if (saving->copies == m_copiesWanted) {
            saving->done(true);
        }
    });
}

void ArchivedTurnStore::toStore(const std::shared_ptr<Saving> &saving)
{
    if (saving->isAtStore) {
        return;
    }
    saving->isAtStore = true;
    m_store.save(saving->turn, [saving](bool isKept) { saving->done(isKept); });
}

void ArchivedTurnStore::load(const RequestId &id, std::function<void(TurnLookup)> onLoaded)
{
    m_store.load(id, [this, id, onLoaded = std::move(onLoaded)](const TurnLookup &lookup) {
        if (lookup.status == TurnLookup::Status::Found) {
            onLoaded(lookup);
            return;
        }
        auto loading = std::make_shared<Loading>();
        loading->id = id;
        loading->onLoaded = onLoaded;
        askArchives(loading);
    });
}

void ArchivedTurnStore::onArchivesAsked(const std::shared_ptr<Loading> &loading)
{
    if (loading->found) {
        loading->onLoaded({TurnLookup::Status::Found, loading->found});
        return;
    }
    if (loading->areAllAbsent && m_fleet.isLoaded()) {
        checkAllAsked(loading);
    } else {
        loadAgain(loading, false);
    }
}

// This instance's own list may lack an archive that has just come.
void ArchivedTurnStore::checkAllAsked(const std::shared_ptr<Loading> &loading)
{
    readMembers(m_platformStore, [this, loading](const std::optional<std::vector<FleetMember>> &members) {
        const auto isAsked = [&](const FleetMember &it) { return it.role != FleetMember::Role::Archive || loading->asked.count(it.id) != 0; };
        const bool areAllAsked = members && std::all_of(members->begin(), members->end(), isAsked);
        if (!areAllAsked) {
            logChange("archives-not-all-asked", "turn={} listed={}", loading->id.value(), members.has_value());
        }
        loadAgain(loading, areAllAsked);
    });
}

// A turn moves from the archives to the store, so only a look into the store after all others can say that it is absent.
void ArchivedTurnStore::loadAgain(const std::shared_ptr<Loading> &loading, bool isCertain)
{
    m_store.load(loading->id, [loading, isCertain](TurnLookup lookup) {
        if (lookup.status == TurnLookup::Status::Absent && !isCertain) {
            lookup.status = TurnLookup::Status::Unsure;
        }
        loading->onLoaded(lookup);
    });
}

void ArchivedTurnStore::askArchives(const std::shared_ptr<Loading> &loading)
{
    const std::vector<FleetMember> archives = m_fleet.archives();
    loading->pending = archives.size();
    if (archives.empty()) {
        onArchivesAsked(loading);
        return;
    }
    for (const FleetMember &archive : archives) {
        loading->asked.insert(archive.id);
        SimpleCall call;
        call.address = archive.peers;
        call.target = ArchiveLookupPath + loading->id.value();
        call.answerLimit = LookupLimit;
        sendSimpleCall(m_context, m_links, std::move(call), [this, loading](const std::optional<SimpleAnswer> &answer) {
            auto turn = answer && answer->status == StatusOk ? TurnRecord::decode(loading->id, answer->body) : std::nullopt;
            if (turn) {
                loading->found = std::make_shared<const TurnRecord>(std::move(*turn));
            }
            loading->areAllAbsent = loading->areAllAbsent && answer && answer->status == StatusNotFound;
            if (--loading->pending == 0) {
                onArchivesAsked(loading);
            }
        });
    }
}

} // namespace flamingo
