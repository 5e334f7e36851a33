#pragma once

#include "platform/platformstore.h"
#include "serving/budgetrecord.h"

namespace flamingo
{

/// Budget records in the platform's store, one key for each program.
class PlatformBudgetStore : public BudgetStore
{
public:
    /// Prefix of a budget's key; followed by the program's id as storedId() gives it.
    static constexpr const char *KeyPrefix = "budget/";

    explicit PlatformBudgetStore(platform::PlatformStore &store);

    void compareAndSwap(const ProgramId &program, std::uint64_t expectedRevision, const std::string &bytes, std::function<void(SwapResult)> onResult) override;
    void remove(const std::vector<BudgetRevision> &records) override;

    /// Checks whether the store holds no budget at all. The handler is not called when the store doesn't respond.
    void checkEmpty(std::function<void(bool isEmpty)> onChecked);

private:
    void removeGroup(const std::vector<BudgetRevision> &records);

    platform::PlatformStore &m_store;
};

} // namespace flamingo
