#pragma once

#include "serving/requestmetadata.h"

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

/// One turn that was answered whole, as it is kept. It never changes.
struct TurnRecord {
    RequestId id;
    std::vector<RequestId> ancestors; ///< The turns that it stands on, the oldest first.
    std::string input; ///< What the caller sent.
    std::string output; ///< The data of the answer's events, a line feed after each.
    Milliseconds retention{0};

    std::string encode() const;
    static std::optional<TurnRecord> decode(const RequestId &id, const std::string &bytes);
};

using TurnRecordPtr = std::shared_ptr<const TurnRecord>;

/// What a look-up of a turn in its lasting places gave.
struct TurnLookup {
    enum class Status {
        Found,
        Absent, ///< Every place that could hold it has said that it doesn't.
        Unknown, ///< Some place didn't answer.
    };

    Status status = Status::Unknown;
    TurnRecordPtr turn;
};

/// Where turns last.
class TurnStore
{
public:
    virtual ~TurnStore() = default;

    /// Calls back with true once the turn is kept against all losses that are to be borne.
    virtual void save(const TurnRecordPtr &turn, std::function<void(bool isDurable)> onSaved) = 0;
    virtual void load(const RequestId &id, std::function<void(TurnLookup)> onLoaded) = 0;
};

/// The history that a turn continues from.
struct TurnChain {
    TurnLookup::Status status = TurnLookup::Status::Unknown;
    std::vector<RequestId> ids; ///< The oldest first.
    std::string text; ///< Inputs and outputs, in order.
};

/// Histories of stateful turns. Recent turns stay in memory within a bound; the others are looked up.
class TurnCache
{
public:
    TurnCache(TurnStore &store, std::size_t maxBytes);

    /// Puts together all that precedes a turn.
    void loadChain(const RequestId &previous, std::function<void(TurnChain)> onChain);

    /// Takes a turn into memory that is kept elsewhere already.
    void add(const TurnRecordPtr &turn);

    /// A turn in memory; nothing when it isn't there.
    TurnRecordPtr find(const RequestId &id) const;

    std::size_t sizeBytes() const;

private:
    struct ChainLoad;

    void loadAncestors(const std::shared_ptr<ChainLoad> &load);
    static void finish(ChainLoad &load);

    TurnStore &m_store;
    const std::size_t m_maxBytes;
    std::size_t m_sizeBytes = 0;
    std::unordered_map<RequestId, TurnRecordPtr> m_turns;
    std::deque<RequestId> m_evictionOrder; ///< The oldest first.
};

} // namespace flamingo
