#include "persistence/platformbudgetstore.h"

#include "core/log.h"
#include "persistence/keyremoval.h"
#include "persistence/storedid.h"

namespace flamingo
{

namespace
{
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

void PlatformBudgetStore::remove(const std::vector<ProgramId> &programs)
{
    std::vector<std::string> keys;
    keys.reserve(programs.size());
    for (const ProgramId &program : programs) {
        keys.push_back(KeyPrefix + storedId(program).value());
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

} // namespace flamingo
