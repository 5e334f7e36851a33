#pragma once

#include "persistence/conversationrenewals.h"
#include "persistence/turnindex.h"
#include "platform/platformstore.h"
#include "serving/livenesstracker.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace flamingo
{

/// Removes from the store what members that are gone for good left there: their entries, the budgets that only they held,
/// and the turns of ended conversations that only they would have removed. Each removal is conditional on the revision that the pass has read.
class GarbageCollector
{
public:
    GarbageCollector(platform::PlatformStore &store, LivenessTracker::Settings settings);

    /// Starts a pass; does nothing while one is in progress. What a failed pass leaves is done by the next one. The retention
    /// is the longest of any route in force.
    void collect(Instant now, Milliseconds retention);

private:
    struct Pass;
    /// The last renewal of a conversation that a pass has seen, and since when it is the last one.
    struct ObservedRenewal {
        platform::Revision revision = 0;
        Instant since;
        Instant seenAt;
    };
    using PassPtr = std::shared_ptr<Pass>;

    void readHeartbeats(const PassPtr &pass);
    void assessMembers(const PassPtr &pass);
    void applyAction(const MemberRecord &member, LivenessTracker::Action action, std::uint64_t heartbeatRevision);
    void collectBudgets(const PassPtr &pass);
    void collectTurns(const PassPtr &pass);
    void collectTurnsOfDeadWriters(const PassPtr &pass);
    void finishPass(const PassPtr &pass);
    bool hasEnded(const StoredId &conversation, const Pass &pass);
    void removeIfUnchanged(const std::vector<platform::RevisionPrecondition> &keys);
    void removeTurns(const platform::RevisionPrecondition &key, const TurnIndex &index, const ConversationRenewals &renewals);
    void commit(const platform::StoreTransaction &transaction, const char *kind);

    platform::PlatformStore &m_store;
    LivenessTracker m_liveness;
    std::map<StoredId, ObservedRenewal> m_observedRenewals; ///< Of conversations that dead writers have left.
    Milliseconds m_retention{0}; ///< The longest retention of any route so far.
    bool m_isCollecting = false;
};

} // namespace flamingo
