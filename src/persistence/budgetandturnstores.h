#pragma once

#include "core/timerservice.h"
#include "platform/platformstore.h"
#include "serving/budgetledger.h"
#include "serving/turncache.h"

#include <deque>
#include <utility>

namespace flamingo
{

/// Budget records in the platform's store, one key for each program.
class PlatformBudgetStore : public BudgetStore
{
public:
    /// Prefix of a budget's key; followed by the program's id.
    static constexpr const char *KeyPrefix = "budget/";

    explicit PlatformBudgetStore(platform::PlatformStore &store);

    void compareAndSwap(const ProgramId &program, std::uint64_t expectedRevision, const std::string &bytes, std::function<void(SwapResult)> onResult) override;
    void remove(const std::vector<ProgramId> &programs) override;

    /// Checks whether the store holds no budget at all. The handler is not called when the store doesn't respond.
    void checkEmpty(std::function<void(bool isEmpty)> onChecked);

private:
    platform::PlatformStore &m_store;
};

/// Lists turns that were written together. Stored in the same transaction, so that the turns can be removed by another
/// process when their writer is gone.
struct TurnIndex {
    static constexpr const char *KeyPrefix = "turns-of/";

    IncarnationId writer;
    std::vector<RequestId> turns;

    /// Store keys of the turns.
    std::vector<std::string> keys() const;

    std::string encode() const;
    static std::optional<TurnIndex> decode(const std::string &bytes);
};

/// Turns in the platform's store, one key for each turn. The process that wrote them removes them after their retention.
class PlatformTurnStore : public TurnStore
{
public:
    PlatformTurnStore(platform::PlatformStore &store, IncarnationId writer);

    void save(const TurnRecordPtr &turn, std::function<void(bool isDurable)> onSaved) override;
    void load(const RequestId &id, std::function<void(TurnLookup)> onLoaded) override;

    /// Writes turns in one transaction. The records are results of TurnRecord::encode().
    void saveBatch(const std::vector<std::pair<RequestId, std::string>> &records, std::function<void(bool isDurable)> onSaved);

    /// Removes turns that have been kept for twice their retention.
    void removeExpired(Instant now);

private:
    struct PendingSave {
        TurnRecordPtr turn;
        platform::StoreTransaction transaction;
        std::function<void(bool)> onSaved;
        int attempts = 0;
    };
    struct Expiry {
        Instant at;
        std::vector<std::string> keys;
    };

    void trySave(const std::shared_ptr<PendingSave> &saving);
    platform::KeyWrite indexWrite(std::vector<RequestId> turns);
    void scheduleRemoval(std::vector<std::string> keys, Milliseconds retention);

    platform::PlatformStore &m_store;
    IncarnationId m_writer;
    std::uint64_t m_lastIndexNumber = 0;
    std::deque<Expiry> m_expiries;
};

} // namespace flamingo
