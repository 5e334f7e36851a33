#pragma once

#include "serving/budgetledger.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace flamingo
{

const Instant Start{};

/// Budget records in memory, with failures of the store on request.
class InMemoryBudgetStore : public BudgetStore
{
public:
    struct Record {
        std::uint64_t revision = 0;
        std::string bytes;
    };

    void compareAndSwap(const ProgramId &program, std::uint64_t expectedRevision, const std::string &bytes, std::function<void(SwapResult)> onResult) override
    {
        ++calls;
        if (isRefusing) {
            onResult({SwapResult::Status::Refused, 0, {}});
            return;
        }
        Record &record = records[program];
        if (record.revision != expectedRevision) {
            onResult({SwapResult::Status::Conflict, record.revision, record.bytes});
            return;
        }
        if (writesToDelay > 0) {
            --writesToDelay;
            delayedWrites.push_back([this, program, expectedRevision, bytes] { compareAndSwap(program, expectedRevision, bytes, [](const SwapResult &) {}); });
            onResult({SwapResult::Status::Unknown, 0, {}});
            return;
        }
        record = {record.revision + 1, bytes};
        if (isHoldingAnswers) {
            heldAnswers.push_back([onResult, revision = record.revision] { onResult({SwapResult::Status::Done, revision, {}}); });
            return;
        }
        if (answersToLose > 0) {
            --answersToLose;
            isRefusing = isRefusing || refusesAfterLoss;
            onResult({SwapResult::Status::Unknown, 0, {}});
            return;
        }
        onResult({SwapResult::Status::Done, record.revision, {}});
    }

    void remove(const std::vector<BudgetRevision> &removed) override
    {
        for (const BudgetRevision &it : removed) {
            if (records[it.program].revision == it.revision) {
                records.erase(it.program);
            }
        }
    }

    Tokens granted(const std::string &program) const
    {
        const auto record = BudgetRecord::decode(records.at(ProgramId(program)).bytes);
        return record->budget - record->remaining();
    }

    std::map<ProgramId, Record> records;
    int calls = 0;
    int answersToLose = 0;
    int writesToDelay = 0; ///< Reported as unknown, and carried out when a test calls them.
    bool isRefusing = false;
    bool refusesAfterLoss = false; ///< An outage begins with a lost response.
    bool isHoldingAnswers = false;
    std::vector<std::function<void()>> heldAnswers;
    std::vector<std::function<void()>> delayedWrites;
};

/// A ledger with one program.
struct Holder {
    Holder(InMemoryBudgetStore &store, const std::string &name, std::set<std::string> reachable = {})
        : Holder(store,
                 name,
                 {[reachable = std::move(reachable)](const IncarnationId &holder) { return reachable.count(holder.value()) != 0; },
                  [](const ProgramId &) { return false; },
                  [](const ProgramId &) { return true; }})
    {
    }

    Holder(InMemoryBudgetStore &store, const std::string &name, BudgetLedger::Checks checks, WitnessNetwork *witnesses = nullptr)
        : ledger(IncarnationId(name), store, std::move(checks), witnesses)
    {
    }

    BudgetAnswer reserve(int budget, int maxTokens, bool isForwarded = false, Instant now = Start)
    {
        BudgetAnswer answer;
        ledger.reserve({ProgramId("p"), Tokens(budget), Tokens(maxTokens), isForwarded}, now, [&](const BudgetAnswer &it) { answer = it; });
        return answer;
    }

    void settle(int reserved, int used)
    {
        ledger.settle(ProgramId("p"), Tokens(reserved), Tokens(used), Start);
    }

    BudgetLedger ledger;
};

} // namespace flamingo
