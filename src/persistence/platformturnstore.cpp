#include "persistence/platformturnstore.h"

#include "core/log.h"
#include "persistence/keyremoval.h"
#include "serving/archivemessages.h"

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

PlatformTurnStore::PlatformTurnStore(platform::PlatformStore &store, IncarnationId writer, Milliseconds confirmationDelay)
    : m_store(store)
    , m_writer(std::move(writer))
    , m_confirmationDelay(confirmationDelay)
{
}

// The index is the last of the writes.
platform::StoreTransaction PlatformTurnStore::transactionFor(const TurnBatch &batch)
{
    platform::StoreTransaction transaction;
    transaction.writes = batch.writes();
    TurnIndex index{m_writer, {}, {}};
    for (const BatchedTurn &turn : batch.turns()) {
        index.turns.push_back(turn.id);
        index.conversations.push_back(turn.conversation);
    }
    transaction.writes.push_back({fmt::format("{}{}/{}", TurnIndex::KeyPrefix, m_writer.value(), ++m_lastIndexNumber), index.encode()});
    return transaction;
}

void PlatformTurnStore::save(const TurnRecordPtr &turn, std::function<void(bool)> onSaved)
{
    auto saving = std::make_shared<PendingSave>();
    saving->batch.tryAdd(turn->id, turn->encode());
    saving->transaction = transactionFor(saving->batch);
    saving->transaction.preconditions.push_back({TurnKeyPrefix + turn->id.value(), 0});
    saving->onSaved = std::move(onSaved);
    trySave(saving);
}

void PlatformTurnStore::trySave(const std::shared_ptr<PendingSave> &saving)
{
    ++saving->attempts;
    m_store.commit(saving->transaction, [this, saving](const tl::expected<platform::TransactionResult, platform::StoreFailure> &result) {
        const bool isAnswered = result.has_value();
        // A conflict means that an earlier attempt, whose response was lost, has written the same turn.
        if (isAnswered) {
            scheduleExpiry(saving->batch, saving->transaction.writes.back().key);
            saving->onSaved(true);
            return;
        }
        const bool mayRetry = result.error().kind == platform::StoreFailure::Kind::Unknown && saving->attempts < MaxSaveAttempts;
        if (mayRetry) {
            trySave(saving);
            return;
        }
        logChange("turn-not-kept", "turn={} attempts={} reason=\"{}\"", saving->batch.turns().front().id.value(), saving->attempts, result.error().detail);
        saving->onSaved(false);
    });
}

// Turns are immutable, so writing one again does no harm and needs no condition.
void PlatformTurnStore::saveBatch(const TurnBatch &batch, std::function<void(bool)> onSaved)
{
    const platform::StoreTransaction transaction = transactionFor(batch);
    m_store.commit(transaction,
                   [this, batch, indexKey = transaction.writes.back().key, onSaved = std::move(onSaved)](
                       const tl::expected<platform::TransactionResult, platform::StoreFailure> &result) {
                       const bool isDurable = result && result->isCommitted;
                       if (isDurable) {
                           scheduleExpiry(batch, indexKey);
                       } else {
                           logChange("turns-not-kept", "turns={} reason=\"{}\"", batch.turns().size(), result ? "conflict" : result.error().detail);
                       }
                       onSaved(isDurable);
                   });
}

void PlatformTurnStore::load(const RequestId &id, std::function<void(TurnLookup)> onLoaded)
{
    m_store.read(TurnKeyPrefix + id.value(), [id, onLoaded = std::move(onLoaded)](const tl::expected<platform::StoreItem, platform::StoreFailure> &item) {
        TurnLookup lookup;
        if (!item) {
            logChange("turn-lookup-failed", "turn={} reason=\"{}\"", id.value(), item.error().detail);
            onLoaded(lookup);
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

void PlatformTurnStore::scheduleExpiry(const TurnBatch &batch, const std::string &indexKey)
{
    Expiry expiry;
    expiry.indexKey = indexKey;
    expiry.retention = batch.retention();
    for (const BatchedTurn &turn : batch.turns()) {
        expiry.turns.push_back({turn.id, turn.conversation});
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
        keys.push_back(TurnKeyPrefix + turn.id.value());
        if (it != renewals.end() && turn.id == turn.conversation) {
            keys.push_back(RenewalKeyPrefix + turn.conversation.value());
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
