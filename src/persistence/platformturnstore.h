#pragma once

#include "persistence/conversationrenewals.h"
#include "persistence/turnbatch.h"
#include "persistence/turnindex.h"
#include "platform/platformstore.h"
#include "serving/turncache.h"

#include <map>
#include <memory>

namespace flamingo
{

/// Turns in the platform's store, one key for each turn. The process that wrote them removes them after their retention, unless
/// their conversation goes on.
class PlatformTurnStore : public TurnStore
{
public:
    /// Turns are removed when their conversation counts as ended twice, this long apart, since turns that were saved during an
    /// outage of the store reach it from the archives a few seconds after its return.
    static constexpr Milliseconds DefaultConfirmationDelay{30000};

    PlatformTurnStore(platform::PlatformStore &store, IncarnationId writer, Milliseconds confirmationDelay = DefaultConfirmationDelay);

    void save(const TurnRecordPtr &turn, std::function<void(bool isDurable)> onSaved) override;
    void load(const RequestId &id, std::function<void(TurnLookup)> onLoaded) override;

    /// Writes turns in one transaction.
    void saveBatch(const TurnBatch &batch, std::function<void(bool isDurable)> onSaved);

    /// Removes turns that have been kept for twice their retention, and whose conversation wasn't renewed in that time.
    void removeExpired(Instant now);

private:
    struct PendingSave {
        TurnBatch batch;
        platform::StoreTransaction transaction;
        std::function<void(bool)> onSaved;
        int attempts = 0;
    };
    struct KeptTurn {
        RequestId id;
        RequestId conversation;
        platform::Revision lastSeenRenewal = 0;
    };
    /// Turns that were written together.
    struct Expiry {
        std::string indexKey; ///< Removed with the last of the turns; empty if other turns of the index are kept on.
        std::vector<KeptTurn> turns;
        Milliseconds retention{0};
        bool isConfirmation = false;
    };

    void trySave(const std::shared_ptr<PendingSave> &saving);
    platform::StoreTransaction transactionFor(const TurnBatch &batch);
    void scheduleExpiry(const TurnBatch &batch, const std::string &indexKey);
    void removeEnded(const ConversationRenewals &renewals, Instant now);
    void checkExpiry(Expiry expiry, const ConversationRenewals &renewals, Instant now);

    platform::PlatformStore &m_store;
    const IncarnationId m_writer;
    const Milliseconds m_confirmationDelay;
    std::uint64_t m_lastIndexNumber = 0;
    std::multimap<Instant, Expiry> m_expiries;
    bool m_isReadingRenewals = false;
};

} // namespace flamingo
