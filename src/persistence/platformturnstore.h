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

/// Turns in the platform's store, one key for each turn, and more for one that is longer than a value. The process that wrote them removes them after their
/// retention, unless their conversation goes on.
class PlatformTurnStore : public TurnStore
{
public:
    enum class SaveResult {
        Saved,
        Failed, ///< Another attempt may succeed.
        Rejected, ///< The store doesn't take one of the turns, now or later.
    };

    /// Turns are removed when their conversation counts as ended twice, this long apart, since turns that were saved during an
    /// outage of the store reach it from the archives a few seconds after its return.
    static constexpr Milliseconds DefaultConfirmationDelay{30000};

    PlatformTurnStore(platform::PlatformStore &store,
                      IncarnationId writer,
                      std::size_t maxValueBytes,
                      Milliseconds confirmationDelay = DefaultConfirmationDelay);

    /// A batch for saveBatch().
    TurnBatch emptyBatch() const;

    void save(const TurnRecordPtr &turn, std::function<void(bool isDurable)> onSaved) override;
    void load(const RequestId &id, std::function<void(TurnLookup)> onLoaded) override;

    /// Writes turns together. After a failure some of them may have been written.
    void saveBatch(const TurnBatch &batch, std::function<void(SaveResult result)> onSaved);

    /// Removes turns that have been kept for twice their retention, and whose conversation wasn't renewed in that time.
    void removeExpired(Instant now);

private:
    struct PendingSave {
        TurnBatch batch;
        std::vector<platform::StoreTransaction> transactions;
        std::size_t committed = 0; ///< Of the transactions.
        std::function<void(SaveResult)> onSaved;
        int attempts = 0; ///< At the next transaction.
        int maxAttempts = 1;
    };
    struct KeptTurn {
        StoredId id;
        StoredId conversation;
        std::size_t parts = 0;
        platform::Revision lastSeenRenewal = 0;
    };
    /// Turns that were written together.
    struct Expiry {
        std::string indexKey; ///< Removed with the last of the turns; empty if other turns of the index are kept on.
        std::vector<KeptTurn> turns;
        Milliseconds retention{0};
        bool isConfirmation = false;
    };

    struct PendingLoad {
        RequestId id;
        std::function<void(TurnLookup)> onLoaded;
        std::string record;
        std::size_t parts = 0;
        std::size_t loadedParts = 0;
    };

    std::shared_ptr<PendingSave> makeSave(const TurnBatch &batch, std::function<void(SaveResult)> onSaved);
    void commitNext(const std::shared_ptr<PendingSave> &saving);
    void onCommitFailed(const std::shared_ptr<PendingSave> &saving, const platform::StoreFailure &failure);
    void loadNextPart(const std::shared_ptr<PendingLoad> &loading);
    void scheduleExpiry(const TurnBatch &batch, const std::string &indexKey);
    void removeEnded(const ConversationRenewals &renewals, Instant now);
    void checkExpiry(Expiry expiry, const ConversationRenewals &renewals, Instant now);

    platform::PlatformStore &m_store;
    const IncarnationId m_writer;
    const std::size_t m_maxValueBytes;
    const Milliseconds m_confirmationDelay;
    std::uint64_t m_lastIndexNumber = 0;
    std::multimap<Instant, Expiry> m_expiries;
    bool m_isReadingRenewals = false;
};

} // namespace flamingo
