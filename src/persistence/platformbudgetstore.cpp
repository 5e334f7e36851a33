#include "persistence/platformbudgetstore.h"

#include "core/log.h"
#include "persistence/storedid.h"

#include <algorithm>

namespace flamingo
{

namespace
{
/// Each key takes two entries of a transaction, the condition and the removal.
constexpr std::size_t MaxRemovalsPerTransaction = 15;

SwapResult swapResult(const tl::expected<platform::TransactionResult, platform::StoreFailure> &result)
{
    SwapResult swap;
    if (!result) {
        const bool isRefused = result.error().kind != platform::StoreFailure::Kind::Unknown;
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
    const std::string key = KeyPrefix + storedId(program).value();
    platform::StoreTransaction transaction;
    transaction.preconditions.push_back({key, expectedRevision});
    transaction.writes.push_back({key, bytes});
    m_store.commit(transaction, [onResult = std::move(onResult)](const auto &result) { onResult(swapResult(result)); });
}

void PlatformBudgetStore::remove(const std::vector<BudgetRevision> &records)
{
    for (std::size_t begin = 0; begin < records.size(); begin += MaxRemovalsPerTransaction) {
        const std::size_t end = std::min(begin + MaxRemovalsPerTransaction, records.size());
        removeGroup({records.begin() + static_cast<std::ptrdiff_t>(begin), records.begin() + static_cast<std::ptrdiff_t>(end)});
    }
}

// One record that has changed keeps the whole transaction from being executed, so the halves are tried apart.
void PlatformBudgetStore::removeGroup(const std::vector<BudgetRevision> &records)
{
    platform::StoreTransaction transaction;
    for (const BudgetRevision &record : records) {
        const std::string key = KeyPrefix + storedId(record.program).value();
        transaction.preconditions.push_back({key, record.revision});
        transaction.removals.push_back(key);
    }
    m_store.commit(transaction, [this, records](const tl::expected<platform::TransactionResult, platform::StoreFailure> &result) {
        if (!result) {
            logChange("removal-failed", "keys={} reason=\"{}\"", records.size(), result.error().detail);
        } else if (!result->isCommitted && records.size() > 1) {
            const auto middle = records.begin() + static_cast<std::ptrdiff_t>(records.size() / 2);
            removeGroup({records.begin(), middle});
            removeGroup({middle, records.end()});
        }
    });
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

} // namespace flamingo
