#include "persistence/platformturnstore.h"

#include "core/log.h"
#include "persistence/keyremoval.h"
#include "persistence/splitrecord.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace flamingo
{

namespace
{
/// Attempts at a write whose response is lost, before saving the turn fails.
constexpr int MaxSaveAttempts = 2;
/// Turns are kept for a multiple of their retention, so that clock differences and outages don't remove them early.
constexpr int RetentionFactor = 2;
} // namespace

PlatformTurnStore::PlatformTurnStore(platform::PlatformStore &store, IncarnationId writer, std::size_t maxValueBytes, Milliseconds confirmationDelay)
    : m_store(store)
    , m_writer(std::move(writer))
    , m_maxValueBytes(maxValueBytes)
    , m_confirmationDelay(confirmationDelay)
{
}

TurnBatch PlatformTurnStore::emptyBatch() const
{
    return TurnBatch(m_maxValueBytes);
}

std::shared_ptr<PlatformTurnStore::PendingSave> PlatformTurnStore::makeSave(const TurnBatch &batch, std::function<void(SaveResult)> onSaved)
{
    TurnIndex index;
    index.writer = m_writer;
    for (const BatchedTurn &turn : batch.turns()) {
        index.turns.push_back(storedId(turn.id));
        index.conversations.push_back(turn.conversation);
        index.parts.push_back(turn.parts);
    }
    const std::string key = fmt::format("{}{}/{}", TurnIndex::KeyPrefix, m_writer.value(), ++m_lastIndexNumber);
    return std::make_shared<PendingSave>(PendingSave{batch, batch.transactions({key, index.encode()}), 0, std::move(onSaved)});
}

void PlatformTurnStore::save(const TurnRecordPtr &turn, std::function<void(bool)> onSaved)
{
    TurnBatch batch = emptyBatch();
    batch.tryAdd(turn->id, turn->encode());
    const auto saving = makeSave(batch, [onSaved = std::move(onSaved)](SaveResult result) { onSaved(result == SaveResult::Saved); });
    // The turn's own key is in the last transaction. A conflict means that an earlier attempt, whose response was lost, has written it.
    saving->transactions.back().preconditions.push_back({turnKey(storedId(turn->id)), 0});
    saving->maxAttempts = MaxSaveAttempts;
    commitNext(saving);
}

// Turns are immutable, so writing one again does no harm and needs no condition.
void PlatformTurnStore::saveBatch(const TurnBatch &batch, std::function<void(SaveResult)> onSaved)
{
    commitNext(makeSave(batch, std::move(onSaved)));
}

void PlatformTurnStore::commitNext(const std::shared_ptr<PendingSave> &saving)
{
    ++saving->attempts;
    const platform::StoreTransaction &transaction = saving->transactions[saving->committed];
    m_store.commit(transaction, [this, saving](const tl::expected<platform::TransactionResult, platform::StoreFailure> &result) {
        if (!result) {
            onCommitFailed(saving, result.error());
            return;
        }
        saving->attempts = 0;
        if (++saving->committed < saving->transactions.size()) {
            commitNext(saving);
            return;
        }
        scheduleExpiry(saving->batch, saving->transactions.front().writes.front().key);
        saving->onSaved(SaveResult::Saved);
    });
}

void PlatformTurnStore::onCommitFailed(const std::shared_ptr<PendingSave> &saving, const platform::StoreFailure &failure)
{
    const bool mayRetry = failure.kind == platform::StoreFailure::Kind::Unknown && saving->attempts < saving->maxAttempts;
    if (mayRetry) {
        commitNext(saving);
        return;
    }
    logChange("turns-not-kept",
              "turn={} turns={} attempts={} reason=\"{}\"",
              saving->batch.turns().front().id.value(),
              saving->batch.turns().size(),
              saving->attempts,
              failure.detail);
    saving->onSaved(failure.kind == platform::StoreFailure::Kind::Rejected ? SaveResult::Rejected : SaveResult::Failed);
}

void PlatformTurnStore::load(const RequestId &id, std::function<void(TurnLookup)> onLoaded)
{
    m_store.read(turnKey(storedId(id)), [this, id, onLoaded = std::move(onLoaded)](const tl::expected<platform::StoreItem, platform::StoreFailure> &item) {
        TurnLookup lookup;
        if (!item) {
            logChange("turn-lookup-failed", "turn={} reason=\"{}\"", id.value(), item.error().detail);
            onLoaded(lookup);
            return;
        }
        if (const auto head = SplitRecordHead::decode(item->data)) {
            loadNextPart(std::make_shared<PendingLoad>(PendingLoad{id, onLoaded, {}, head->parts}));
            return;
        }
        if (item->revision == 0) {
            lookup.status = TurnLookup::Status::Absent;
        } else if (auto turn = TurnRecord::decode(id, item->data)) {
            lookup.status = TurnLookup::Status::Found;
            lookup.turn = std::make_shared<const TurnRecord>(std::move(*turn));
        }
        onLoaded(lookup);
    });
}

// The parts are written before the turn's own key and removed with it, so a missing one doesn't mean that there is no such turn.
void PlatformTurnStore::loadNextPart(const std::shared_ptr<PendingLoad> &loading)
{
    m_store.read(turnPartKey(storedId(loading->id), loading->loadedParts),
                 [this, loading](const tl::expected<platform::StoreItem, platform::StoreFailure> &item) {
                     TurnLookup lookup;
                     if (!item || item->revision == 0) {
                         logChange("turn-part-not-read",
                                   "turn={} part={} parts={} reason=\"{}\"",
                                   loading->id.value(),
                                   loading->loadedParts,
                                   loading->parts,
                                   item ? "absent" : item.error().detail);
                         loading->onLoaded(lookup);
                         return;
                     }
                     loading->record += item->data;
                     if (++loading->loadedParts < loading->parts) {
                         loadNextPart(loading);
                         return;
                     }
                     if (auto turn = TurnRecord::decode(loading->id, loading->record)) {
                         lookup.status = TurnLookup::Status::Found;
                         lookup.turn = std::make_shared<const TurnRecord>(std::move(*turn));
                     }
                     loading->onLoaded(lookup);
                 });
}

void PlatformTurnStore::scheduleExpiry(const TurnBatch &batch, const std::string &indexKey)
{
    Expiry expiry;
    expiry.indexKey = indexKey;
    expiry.retention = batch.retention();
    for (const BatchedTurn &turn : batch.turns()) {
        expiry.turns.push_back({storedId(turn.id), turn.conversation, turn.parts});
    }
    m_expiries.emplace(std::chrono::steady_clock::now() + expiry.retention * RetentionFactor, std::move(expiry));
}

void PlatformTurnStore::removeExpired(Instant now)
{
    const bool isAnyDue = !m_expiries.empty() && m_expiries.begin()->first < now;
    if (!isAnyDue || m_isReadingRenewals || m_store.hasRecentFailure()) {
        return;
    }
    m_isReadingRenewals = true;
    readRenewals(m_store, [this, now](const std::optional<ConversationRenewals> &renewals) {
        m_isReadingRenewals = false;
        if (renewals) {
            removeEnded(*renewals, now);
        }
    });
}

void PlatformTurnStore::removeEnded(const ConversationRenewals &renewals, Instant now)
{
    const auto firstLater = m_expiries.lower_bound(now);
    std::vector<Expiry> due;
    for (auto it = m_expiries.begin(); it != firstLater; ++it) {
        due.push_back(std::move(it->second));
    }
    m_expiries.erase(m_expiries.begin(), firstLater);
    for (Expiry &expiry : due) {
        checkExpiry(std::move(expiry), renewals, now);
    }
}

// A conversation that was renewed since the last check is checked again after another period. Turns whose conversation has no
// renewal at all are those of a short one, which its last turn has outlived by now.
void PlatformTurnStore::checkExpiry(Expiry expiry, const ConversationRenewals &renewals, Instant now)
{
    Expiry renewed{expiry.indexKey, {}, expiry.retention, false};
    std::vector<std::string> keys;
    std::vector<KeptTurn> ended;
    for (KeptTurn &turn : expiry.turns) {
        const auto it = renewals.find(turn.conversation);
        if (it != renewals.end() && it->second.revision != turn.lastSeenRenewal) {
            turn.lastSeenRenewal = it->second.revision;
            renewed.retention = std::max(renewed.retention, it->second.retention);
            renewed.turns.push_back(turn);
            continue;
        }
        keys.push_back(turnKey(turn.id));
        for (std::size_t part = 0; part < turn.parts; ++part) {
            keys.push_back(turnPartKey(turn.id, part));
        }
        if (it != renewals.end() && turn.id == turn.conversation) {
            keys.push_back(renewalKey(turn.conversation));
        }
        ended.push_back(turn);
    }
    const std::string endedIndexKey = renewed.turns.empty() ? expiry.indexKey : std::string();
    if (!renewed.turns.empty()) {
        const Instant at = now + renewed.retention * RetentionFactor;
        m_expiries.emplace(at, std::move(renewed));
    }
    if (ended.empty()) {
        return;
    }
    if (!expiry.isConfirmation) {
        m_expiries.emplace(now + m_confirmationDelay, Expiry{endedIndexKey, std::move(ended), expiry.retention, true});
        return;
    }
    if (!endedIndexKey.empty()) {
        keys.push_back(endedIndexKey);
    }
    removeKeys(m_store, keys);
}

} // namespace flamingo
