#include "persistence/platformturnstore.h"

#include "core/log.h"
#include "persistence/keyremoval.h"
#include "serving/archivemessages.h"

#include <fmt/format.h>

#include <algorithm>

namespace flamingo
{

namespace
{
/// Attempts at a write whose response is lost, before saving the turn fails.
constexpr int MaxSaveAttempts = 2;
/// Turns are kept for a multiple of their retention, so that clock differences and outages don't remove them early.
constexpr int RetentionFactor = 2;

std::vector<std::string> writtenKeys(const platform::StoreTransaction &transaction)
{
    std::vector<std::string> keys;
    keys.reserve(transaction.writes.size());
    for (const platform::KeyWrite &write : transaction.writes) {
        keys.push_back(write.key);
    }
    return keys;
}
} // namespace

PlatformTurnStore::PlatformTurnStore(platform::PlatformStore &store, IncarnationId writer)
    : m_store(store)
    , m_writer(std::move(writer))
{
}

platform::KeyWrite PlatformTurnStore::indexWrite(std::vector<RequestId> turns)
{
    return {fmt::format("{}{}/{}", TurnIndex::KeyPrefix, m_writer.value(), ++m_lastIndexNumber), TurnIndex{m_writer, std::move(turns)}.encode()};
}

void PlatformTurnStore::save(const TurnRecordPtr &turn, std::function<void(bool)> onSaved)
{
    auto saving = std::make_shared<PendingSave>();
    saving->turn = turn;
    const std::string key = TurnKeyPrefix + turn->id.value();
    saving->transaction.preconditions.push_back({key, 0});
    saving->transaction.writes = {{key, turn->encode()}, indexWrite({turn->id})};
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
            scheduleRemoval(writtenKeys(saving->transaction), saving->turn->retention);
            saving->onSaved(true);
            return;
        }
        const bool mayRetry = result.error().kind == platform::StoreFailure::Kind::Unknown && saving->attempts < MaxSaveAttempts;
        if (mayRetry) {
            trySave(saving);
            return;
        }
        logChange("turn-not-kept", "turn={} attempts={} reason=\"{}\"", saving->turn->id.value(), saving->attempts, result.error().detail);
        saving->onSaved(false);
    });
}

void PlatformTurnStore::scheduleRemoval(std::vector<std::string> keys, Milliseconds retention)
{
    m_expiries.push_back({std::chrono::steady_clock::now() + retention * RetentionFactor, std::move(keys)});
}

// Turns are immutable, so writing one again does no harm and needs no condition.
void PlatformTurnStore::saveBatch(const std::vector<std::pair<RequestId, std::string>> &records, std::function<void(bool)> onSaved)
{
    platform::StoreTransaction transaction;
    std::vector<RequestId> turns;
    Milliseconds retention{0};
    for (const auto &[id, record] : records) {
        const auto turn = TurnRecord::decode(id, record);
        retention = std::max(retention, turn ? turn->retention : Milliseconds(0));
        transaction.writes.push_back({TurnKeyPrefix + id.value(), record});
        turns.push_back(id);
    }
    transaction.writes.push_back(indexWrite(std::move(turns)));
    auto keys = writtenKeys(transaction);
    m_store.commit(transaction,
                   [this, keys = std::move(keys), retention, onSaved = std::move(onSaved)](
                       const tl::expected<platform::TransactionResult, platform::StoreFailure> &result) {
                       const bool isDurable = result && result->isCommitted;
                       if (isDurable) {
                           scheduleRemoval(keys, retention);
                       } else {
                           logChange("turns-not-kept", "keys={} reason=\"{}\"", keys.size(), result ? "conflict" : result.error().detail);
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

void PlatformTurnStore::removeExpired(Instant now)
{
    std::vector<std::string> keys;
    while (!m_expiries.empty() && m_expiries.front().at < now) {
        keys.insert(keys.end(), m_expiries.front().keys.begin(), m_expiries.front().keys.end());
        m_expiries.pop_front();
    }
    removeKeys(m_store, keys);
}

} // namespace flamingo
