#pragma once

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
/// and the turns that only they would have removed. Each removal is conditional on the revision that the pass has read.
class GarbageCollector
{
public:
    GarbageCollector(platform::PlatformStore &store, LivenessTracker::Settings settings);

    /// Starts a pass; does nothing while one is in progress. What a failed pass leaves is done by the next one. The retention
    /// is the longest of any route in force.
    void collect(Instant now, Milliseconds retention);

private:
    struct Pass;
    using PassPtr = std::shared_ptr<Pass>;

    void readHeartbeats(const PassPtr &pass);
    void assessMembers(const PassPtr &pass);
    void applyAction(const MemberRecord &member, LivenessTracker::Action action, std::uint64_t heartbeatRevision);
    void collectBudgets(const PassPtr &pass);
    void collectTurns(const PassPtr &pass);
    void removeIfUnchanged(const std::vector<platform::RevisionPrecondition> &keys);
    void removeTurns(const platform::RevisionPrecondition &key, const TurnIndex &index);
    void commit(const platform::StoreTransaction &transaction, const char *kind);

    platform::PlatformStore &m_store;
    LivenessTracker m_liveness;
    bool m_isCollecting = false;
};

} // namespace flamingo
