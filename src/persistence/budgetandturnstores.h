#pragma once

#include "core/timerservice.h"
#include "platform/platformstore.h"
#include "serving/budgetledger.h"
#include "serving/turncache.h"

#include <deque>
#include <utility>

namespace flamingo
{

/// Budget records in the platform's store, a key a program.
class PlatformBudgetStore : public BudgetStore
{
public:
    /// Where budgets lie; the rest of the key is the program.
    static constexpr const char *KeyPrefix = "budget/";

    explicit PlatformBudgetStore(platform::PlatformStore &store);

    void compareAndSwap(const ProgramId &program, std::uint64_t expectedRevision, const std::string &bytes, std::function<void(SwapResult)> onResult) override;
    void remove(const std::vector<ProgramId> &programs) override;

    /// Whether the store holds no budget at all; not called when the store doesn't answer.
    void checkEmpty(std::function<void(bool isEmpty)> onChecked);

private:
    platform::PlatformStore &m_store;
};

/// Turns that were written together, kept beside them for whoever removes them if their writer is gone.
struct TurnIndex {
    static constexpr const char *KeyPrefix = "turns-of/";

    IncarnationId writer;
    std::vector<RequestId> turns;

    /// Where the turns lie.
    std::vector<std::string> keys() const;

    std::string encode() const;
    static std::optional<TurnIndex> decode(const std::string &bytes);
};

/// Turns in the platform's store, a key a turn, removed by the process that wrote them once their retention is over.
class PlatformTurnStore : public TurnStore
{
public:
    PlatformTurnStore(platform::PlatformStore &store, IncarnationId writer);

    void save(const TurnRecordPtr &turn, std::function<void(bool isDurable)> onSaved) override;
    void load(const RequestId &id, std::function<void(TurnLookup)> onLoaded) override;

    /// Writes many turns at once; all or none of them are written. The records are TurnRecord::encode().
    void saveBatch(const std::vector<std::pair<RequestId, std::string>> &records, std::function<void(bool isDurable)> onSaved);

    /// Removes turns whose retention has been over for a while.
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
