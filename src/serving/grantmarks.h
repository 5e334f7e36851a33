#pragma once

#include "core/time.h"
#include "serving/granthistory.h"
#include "serving/markfence.h"
#include "serving/turncache.h"

#include <functional>
#include <optional>
#include <vector>

namespace flamingo
{

/// Durable storage of marks.
class GrantMarkStore
{
public:
    virtual ~GrantMarkStore() = default;

    /// Stores a mark on the archives only, since these refuse one that is based on a member list from before a fence; see MarkFence.
    /// Calls back with true once the mark survives all failures that the deployment has to tolerate.
    virtual void saveMark(const TurnRecordPtr &mark, MemberListRevision basedOn, std::function<void(bool isDurable)> onSaved) = 0;
    virtual void loadMark(const RequestId &id, std::function<void(TurnLookup)> onLoaded) = 0;
};

/// Marks that survive a process, from which its next incarnation learns whether it may have made provisional grants that the store
/// hasn't recorded. Before the first grant of an outage the mark of the present period is stored like a turn, on the archives. When all
/// grants are recorded, the heartbeat names the next period, which has no mark yet. The next incarnation finds incarnation and period in
/// the heartbeat and looks for the mark: without one, no grant was made.
///
/// Where there are too few archives nothing can be stored in an outage. The heartbeat then announces grants without marks, and these are
/// made once the store has confirmed it, and the member list has been read again after that.
class GrantMarks
{
public:
    struct Hooks {
        std::function<bool()> lacksArchives; ///< The member list was read, and it names too few archives to store a mark.
        /// Writes a heartbeat with the present history. The handler gets the store's revision of it, or nothing if the store hasn't
        /// confirmed it.
        std::function<void(std::function<void(std::optional<MemberListRevision> revision)> onWritten)> writeHeartbeat;
        std::function<void()> onEarlierExcluded; ///< No earlier incarnation has grants that aren't recorded.
        std::function<MemberListRevision()> memberListRevision; ///< Of the list that grants are based on.
        std::function<void()> reloadMembers; ///< Reads the member list again.
    };

    GrantMarks(const IncarnationId &self, GrantMarkStore &markStore, Hooks hooks, Instant startedAt);

    /// Takes the history that the store has of earlier incarnations. These can make no more grants from lookUpAt on.
    void setHistory(GrantHistory history, Instant lookUpAt);
    const GrantHistory &history() const;

    /// Whether provisional grants may be made now.
    bool mayGrant(Instant now) const;

    /// Stores the mark of the present period. The handler is told whether grants may be made.
    void storeMark(Instant now, std::function<void(bool mayGrant)> onStored);

    /// Looks for marks of earlier incarnations, and ends the period when all its grants are recorded. Called every few hundred
    /// milliseconds.
    void onTimer(bool hasUnrecordedGrants, bool isStoreUnreachable, Instant now);

private:
    void onMarkStored(bool isStored, Instant now);
    bool hasTooFewArchives(Instant now) const;
    void endPeriod();
    void writeHistory();
    void onHistoryWritten(const GrantHistory::Entry &written, std::optional<MemberListRevision> revision);
    void lookUpEarlier(Instant now);
    void onLookedUp(const GrantHistory::Entry &entry, TurnLookup::Status status, Instant now);

    GrantMarkStore &m_markStore;
    Hooks m_hooks;
    const Instant m_startedAt;
    GrantHistory m_history;
    std::optional<Instant> m_markedAt; ///< When the present period's mark was stored.
    std::vector<std::function<void(bool)>> m_waiting; ///< For the mark that is being stored.
    bool m_isHistoryWritten = true; ///< Whether the store has the present history, as far as is known.
    bool m_isWriting = false;
    std::optional<MemberListRevision> m_unmarkedFrom; ///< Grants without a mark may be made by lists that are no older.
    bool m_isLookingUp = false;
    bool m_mayHaveEarlierGrants = false; ///< A mark was found, or grants without marks were announced.
    Instant m_nextLookupAt{};
    Milliseconds m_lookupDelay;
};

} // namespace flamingo
