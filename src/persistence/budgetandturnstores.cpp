#include "persistence/budgetandturnstores.h"

#include "core/codec.h"
#include "core/log.h"
#include "serving/archivemessages.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace flamingo
{

namespace
{
/// Attempts at a write whose response is lost, before saving the turn fails.
constexpr int MaxSaveAttempts = 2;
constexpr std::size_t MaxRemovalsPerTransaction = 30;
/// Turns are kept for a multiple of their retention, so that clock differences and outages don't remove them early.
constexpr int RetentionFactor = 2;

void removeKeys(platform::PlatformStore &store, const std::vector<std::string> &keys)
{
    for (std::size_t begin = 0; begin < keys.size(); begin += MaxRemovalsPerTransaction) {
        platform::StoreTransaction transaction;
        const std::size_t end = std::min(begin + MaxRemovalsPerTransaction, keys.size());
        transaction.removals.assign(keys.begin() + static_cast<std::ptrdiff_t>(begin), keys.begin() + static_cast<std::ptrdiff_t>(end));
        store.commit(transaction, [n = end - begin](const tl::expected<platform::TransactionResult, platform::StoreFailure> &result) {
            if (!result) {
                logChange("removal-failed", "keys={} reason=\"{}\"", n, result.error().detail);
            }
        });
    }
}

std::vector<std::string> writtenKeys(const platform::StoreTransaction &transaction)
{
    std::vector<std::string> keys;
    keys.reserve(transaction.writes.size());
    for (const platform::KeyWrite &write : transaction.writes) {
        keys.push_back(write.key);
    }
    return keys;
}

SwapResult swapResult(const tl::expected<platform::TransactionResult, platform::StoreFailure> &result)
{
    SwapResult swap;
    if (!result) {
        const bool isRefused = result.error().kind == platform::StoreFailure::Kind::Refused;
        swap.status = isRefused ? SwapResult::Status::Refused : SwapResult::Status::Unknown;
        return swap;
    }
    swap.status = result->isCommitted ? SwapResult::Status::Done : SwapResult::Status::Conflict;
    swap.revision = result->revision;
    if (!result->isCommitted && !result->currentItems.empty()) {
        swap.revision = result->currentItems.front().revision;
        swap.bytes = result->currentItems.front().data;
    }
    return swap;
}
} // namespace

PlatformBudgetStore::PlatformBudgetStore(platform::PlatformStore &store)
    : m_store(store)
{
}

void PlatformBudgetStore::compareAndSwap(const ProgramId &program,
                                         std::uint64_t expectedRevision,
                                         const std::string &bytes,
                                         std::function<void(SwapResult)> onResult)
{
    const std::string key = KeyPrefix + program.value();
    platform::StoreTransaction transaction;
    transaction.preconditions.push_back({key, expectedRevision});
    transaction.writes.push_back({key, bytes});
    m_store.commit(transaction, [onResult = std::move(onResult)](const auto &result) { onResult(swapResult(result)); });
}

void PlatformBudgetStore::remove(const std::vector<ProgramId> &programs)
{
    std::vector<std::string> keys;
    keys.reserve(programs.size());
    for (const ProgramId &program : programs) {
        keys.push_back(KeyPrefix + program.value());
    }
    removeKeys(m_store, keys);
}

void PlatformBudgetStore::checkEmpty(std::function<void(bool isEmpty)> onChecked)
{
    m_store.list(KeyPrefix, {}, [onChecked = std::move(onChecked)](const tl::expected<platform::StorePage, platform::StoreFailure> &page) {
        if (page) {
            onChecked(page->items.empty());
        } else {
            logChange("budgets-not-checked", "reason=\"{}\"", page.error().detail);
        }
    });
}

std::vector<std::string> TurnIndex::keys() const
{
    std::vector<std::string> keys;
    keys.reserve(turns.size());
    for (const RequestId &turn : turns) {
        keys.push_back(TurnKeyPrefix + turn.value());
    }
    return keys;
}

std::string TurnIndex::encode() const
{
    return nlohmann::json{{"writer", writer}, {"turns", turns}}.dump();
}

std::optional<TurnIndex> TurnIndex::decode(const std::string &bytes)
{
    const auto json = parseJson(bytes);
    if (!json || !json->is_object() || !json->contains("writer") || !json->contains("turns")) {
        return std::nullopt;
    }
    return TurnIndex{(*json)["writer"].get<IncarnationId>(), (*json)["turns"].get<std::vector<RequestId>>()};
}

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
