#include "persistence/keyremoval.h"

#include "core/log.h"

#include <algorithm>

namespace flamingo
{

namespace
{
constexpr std::size_t MaxRemovalsPerTransaction = 30;
} // namespace

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

} // namespace flamingo
