#pragma once

#include "persistence/turnindex.h"
#include "platform/platformstore.h"
#include "serving/turncache.h"

#include <deque>
#include <utility>

namespace flamingo
{

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
