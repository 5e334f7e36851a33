#pragma once

#include "journal/shardjournal.h"
#include "programs/programtable.h"

#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace flamingo
{

/// The shard is owned and its programs are restored.
struct ShardOpened {
    bool hadPrograms = false;
};

/// More records of the shard are committed to the journal.
struct ShardCommitted {
};

/// Another instance has taken over the shard.
struct ShardLost {
    InstanceId newOwner;
};

/// The release of the shard is recorded in the journal.
struct ShardReleased {
};

using ShardEvent = std::variant<ShardOpened, ShardCommitted, ShardLost, ShardReleased>;

/// A shard at the instance that owns it or is acquiring it: its programs and the journal that stores them.
class Shard
{
public:
    Shard(ShardId id, InstanceId self, std::string incarnation, JournalSettings settings);

    void open(Instant now);

    /// Stops accepting calls. release() follows when none is running.
    void startHandover();
    void release();

    /// Checks in the store whether this instance still owns the shard.
    void checkOwnership();

    void onReply(const StoreReply &reply, Instant now);
    void advance(Instant now);
    std::vector<StoreOperation> takeOperations();
    std::vector<ShardEvent> takeEvents();

    /// Applies a record to the programs and appends it to the journal. Fails if the record can't be applied.
    Result<RecordIndex> appendRecord(const Record &record);

    bool isCommitted(RecordIndex index) const;

    /// The newest record of the program that this owner appended; 0 if there is none.
    RecordIndex lastRecordIndex(const ProgramId &program) const;

    /// Returns whether all records of the program that this owner appended are committed.
    bool isDurable(const ProgramId &program) const;

    /// Returns whether the program's start is committed, so that another owner may know the program.
    bool isStartDurable(const ProgramId &program) const;

    ShardId id() const;
    FencingNumber fence() const;
    bool isOwned() const;
    bool isHandingOver() const;

    /// How long the journal has been waiting for the store.
    Milliseconds stalledFor(Instant now) const;

    /// Number of appended records that wait for the store.
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
