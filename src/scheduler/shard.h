#pragma once

#include "journal/shardjournal.h"
#include "programs/programtable.h"

#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace flamingo
{

/// The shard is owned and its state rebuilt.
struct ShardOpened {
    bool hadPrograms = false;
};

/// More records are in the journal.
struct ShardCommitted {
};

/// Another instance owns the shard now.
struct ShardLost {
    InstanceId newOwner;
};

/// The shard has been given up in the journal.
struct ShardReleased {
};

using ShardEvent = std::variant<ShardOpened, ShardCommitted, ShardLost, ShardReleased>;

/// One shard on the instance that owns it or is about to: its programs and the journal that keeps them.
class Shard
{
public:
    Shard(ShardId id, InstanceId self, std::string incarnation, JournalSettings settings);

    void open(Instant now);

    /// Stops taking calls; release() follows when none is under way.
    void startHandover();
    void release();

    /// Looks into the store whether the shard is still owned here.
    void checkOwnership();

    void onReply(const StoreReply &reply, Instant now);
    void advance(Instant now);
    std::vector<StoreOperation> takeOperations();
    std::vector<ShardEvent> takeEvents();

    /// Applies a record to the programs and appends it to the journal.
    Result<RecordIndex> appendRecord(const Record &record);

    bool isCommitted(RecordIndex index) const;

    /// The newest record of the program by this owner; 0 if there is none.
    RecordIndex lastRecordIndex(const ProgramId &program) const;

    /// Whether all that this owner has recorded of the program is in the journal.
    bool isDurable(const ProgramId &program) const;

    /// Whether the program's start is in the journal, so that another owner may know of the program.
    bool isStartDurable(const ProgramId &program) const;

    ShardId id() const;
    FencingNumber fence() const;
    bool isOwned() const;
    bool isHandingOver() const;

    /// How long the journal has been waiting for the store.
    Milliseconds stalledFor(Instant now) const;

    /// Records that wait for the store.
    std::size_t uncommittedRecords() const;

    ProgramTable &table();
    const ProgramTable &table() const;

private:
    void restoreState(const JournalOpened &opened);

    const ShardId m_id;
    ShardJournal m_journal;
    ProgramTable m_table;
    std::unordered_map<ProgramId, RecordIndex> m_lastRecordIndex;
    std::unordered_map<ProgramId, RecordIndex> m_startRecordIndex;
    std::vector<ShardEvent> m_events;
    bool m_isOwned = false;
    bool m_isHandingOver = false;
};

} // namespace flamingo
