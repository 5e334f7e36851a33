#pragma once

#include "serving/turnrecord.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace flamingo
{

/// Result of looking a turn up in the store and the archives.
struct TurnLookup {
    enum class Status {
        Found,
        Absent, ///< Everything that could hold the turn responded that it doesn't.
        Unknown, ///< Something that could hold the turn didn't respond.
    };

    Status status = Status::Unknown;
    TurnRecordPtr turn;
};

/// Durable storage of turns.
class TurnStore
{
public:
    virtual ~TurnStore() = default;

    /// Calls back with true once the turn survives all failures that the deployment has to tolerate.
    virtual void save(const TurnRecordPtr &turn, std::function<void(bool isDurable)> onSaved) = 0;
    virtual void load(const RequestId &id, std::function<void(TurnLookup)> onLoaded) = 0;
};

/// A turn together with its ancestors, which form the history that the next turn continues from.
struct TurnChain {
    TurnLookup::Status status = TurnLookup::Status::Unknown;
    std::vector<RequestId> ids; ///< The oldest first.
    std::string text; ///< Inputs and outputs, in order.
    std::optional<Milliseconds> sinceRenewal; ///< Time since the conversation's last renewal; not set when it isn't known here.
    Milliseconds shortestRetention{0}; ///< Of the turns.
};

/// Assembles histories of stateful turns. Recent turns are cached up to a memory limit; others are loaded from the
/// TurnStore.
class TurnCache
{
public:
    TurnCache(TurnStore &store, std::size_t maxBytes);

    /// Loads the given turn and its ancestors for a caller of the workspace. The status is Absent only when the given turn is absent or
    /// belongs to another workspace or to none; a missing ancestor gives Unknown.
    void loadChain(const RequestId &previous, const std::optional<WorkspaceId> &workspace, Instant now, std::function<void(TurnChain)> onChain);

    /// Caches a turn that has just ended, and is stored already or is being stored. The oldest turns are evicted beyond the memory
    /// limit.
    void add(const TurnRecordPtr &turn, Instant now);

    /// The cached turn, or nullptr.
    TurnRecordPtr find(const RequestId &id) const;

    std::size_t sizeBytes() const;

private:
    struct ChainLoad;

    struct CachedTurn {
        TurnRecordPtr record;
        std::optional<Instant> endedAt; ///< Not set for a turn that was loaded, since it may have ended at any time.
    };

    void insert(CachedTurn turn);
    void loadAncestors(const std::shared_ptr<ChainLoad> &load);
    void finish(ChainLoad &load) const;
    std::optional<Milliseconds> timeSinceRenewal(const RequestId &turn, Instant now) const;

    TurnStore &m_store;
    const std::size_t m_maxBytes;
    std::size_t m_sizeBytes = 0;
    std::unordered_map<RequestId, CachedTurn> m_turns;
    std::deque<RequestId> m_evictionOrder; ///< The oldest first.
};

} // namespace flamingo
