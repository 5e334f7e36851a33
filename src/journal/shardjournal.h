#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "journal/journalentry.h"
#include "journal/storeoperation.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace flamingo
{

/// Number of a record among those that this owner has appended, from 1.
using RecordIndex = std::uint64_t;

/// The journal was read and, unless it was opened read-only, the ownership entry was committed.
struct JournalOpened {
    FencingNumber fence;
    std::vector<std::string> snapshotChunks;
    std::vector<nlohmann::json> records; ///< To be replayed on top of the snapshot, oldest first.
};

/// All records up to this index are durable in the journal.
struct RecordsCommitted {
    RecordIndex upTo = 0;
};

/// Another writer has written to the journal, so this writer no longer owns the shard.
struct OwnershipLost {
    InstanceId newOwner;
    FencingNumber fence;
};

/// The release entry was committed.
struct OwnershipReleased {
};

using JournalEvent = std::variant<JournalOpened, RecordsCommitted, OwnershipLost, OwnershipReleased>;

struct JournalSettings {
    std::uint32_t ringSize = 128; ///< Entries in the ring; at least 32, the same for all instances.
    std::size_t maxEntryBytes = std::size_t(700) * 1024; ///< Limit for the records of one entry; the store accepts values of up to 1 MB.
    double appendsPerSecond = 30; ///< Sustained append rate of one shard.
    double appendBurst = 5; ///< Appends that may be sent at once before the rate limit applies.
    Milliseconds retryDelay{100}; ///< Before a read is repeated, or a write without an answer is read back.
};

/// The journal of one shard: a ring of keys in the platform's key-value store. Each key is written by compare-and-swap on
/// the version that the previous round of the ring left. The writer of the newest ownership entry owns the shard; nothing
/// else decides about ownership.
///
/// The class does no I/O: the caller carries out the store operations that it asks for and passes it the replies. At most
/// one append is in flight.
class ShardJournal
{
public:
    /// All keys begin with the prefix. The incarnation distinguishes this process from earlier ones of the same instance.
    ShardJournal(std::string keyPrefix, InstanceId writer, std::string incarnation, JournalSettings settings = {});

    /// Reads the journal and appends an ownership entry. Reports JournalOpened or OwnershipLost.
    void open(Instant now);

    /// Reads the journal without taking ownership. Reports JournalOpened with the newest owner's fencing number.
    void openReadOnly(Instant now);

    /// Queues a record for the next entry. Only the owner may append.
    RecordIndex append(nlohmann::json record);

    /// Appends all queued records; the last entry releases the shard.
    void release();

    /// Whether a new snapshot is due, because half of the ring has been used since the last one.
    bool needsSnapshot() const;

    /// Starts to write a snapshot. The chunks encode the state after all records appended so far.
    void startSnapshot(std::vector<std::string> chunks);

    /// Reads the slot that this owner writes next and reports OwnershipLost if another writer has written it. For an owner
    /// without appends this happens by itself every few seconds.
    void checkOwnership();

    void onReply(const StoreReply &reply, Instant now);

    /// Starts the next append and the retries that are due. To be called after each change and at least every few
    /// milliseconds.
    void advance(Instant now);

    std::vector<StoreOperation> takeOperations();
    std::vector<JournalEvent> takeEvents();

    bool isOwner() const;
    FencingNumber fence() const;
    RecordIndex lastAppended() const;
    RecordIndex lastCommitted() const;

    /// How long the append in flight has been waiting for the store; 0 if there is none.
    Milliseconds stalledFor(Instant now) const;

private:
    enum class State { Closed, FindingTail, Reading, TakingOver, Owner, Released, Lost };

    struct PendingRecord {
        RecordIndex index;
        nlohmann::json record;
        std::size_t bytes;
    };

    struct InFlightWrite {
        JournalEntry entry;
        std::string value;
        StoreVersion expectedVersion = 0;
        RecordIndex lastRecord = 0;
        Instant startedAt;
        std::optional<Instant> retryAt;
        std::uint64_t operation = 0;
        bool isReadingBack = false;
    };

    struct Slot {
        StoreVersion version = 0;
        std::optional<JournalEntry> entry;
    };

    struct SnapshotInProgress {
        std::string id;
        std::vector<std::string> chunks;
        std::set<std::uint32_t> unwrittenChunks;
        std::map<std::uint64_t, std::uint32_t> chunkByOperation;
        RecordIndex lastIncludedRecord = 0;
        std::optional<EntrySequence> replayFrom;
        std::optional<Instant> retryAt;
    };

    std::string slotKey(EntrySequence sequence) const;
    std::string chunkKey(const std::string &id, std::uint32_t chunk) const;
    std::uint64_t issueOperation(StoreOperation::Kind kind, std::string key, std::string value = {}, StoreVersion expectedVersion = 0);

    void readSlot(std::uint32_t slot);
    void readChunk(std::uint32_t chunk);
    void scheduleReadRetry(std::uint64_t operation, Instant now);
    void retryReads();
    void onSlotRead(std::uint32_t slot, const StoreReply &reply, Instant now);
    void continueTailSearch(Instant now);
    void startReadingState();
    void onOpeningReply(const StoreReply &reply, Instant now);
    void finishReadingIfComplete(Instant now);
    void reportOpened();
    void restartOpen(Instant now);

    void startWrite(JournalEntry entry, RecordIndex lastRecord, Instant now);
    void issueInFlightWrite();
    void onWriteReply(const StoreReply &reply, Instant now);
    void onReadBack(const StoreReply &reply, Instant now);
    void onEntryCommitted(StoreVersion version);
    void loseOwnership(const JournalEntry &newerEntry);

    void prefetchSlotVersions(Instant now);
    void onVersionRead(EntrySequence sequence, const StoreReply &reply, Instant now);
    void appendNextEntry(Instant now);
    bool canAppend(Instant now);
    JournalEntry makeEntry();
    void writeUnwrittenChunks();
    void onChunkReply(std::uint32_t chunk, const StoreReply &reply, Instant now);
    void deleteSnapshot(const SnapshotReference &snapshot);

    const std::string m_keyPrefix;
    const InstanceId m_writer;
    const std::string m_incarnation;
    const JournalSettings m_settings;
    State m_state = State::Closed;
    bool m_isReadOnly = false;
    std::uint64_t m_lastOperation = 0;
    std::uint64_t m_lastBatchNumber = 0;
    std::vector<StoreOperation> m_operations;
    std::vector<JournalEvent> m_events;

    std::map<std::uint32_t, Slot> m_slots;
    std::map<std::uint64_t, std::uint32_t> m_slotByOperation;
    std::map<std::uint64_t, std::uint32_t> m_chunkByOperation;
    std::map<std::uint32_t, std::string> m_chunkContents;
    std::uint32_t m_searchLow = 0;
    std::uint32_t m_searchHigh = 0;
    std::optional<JournalEntry> m_tail;
    std::optional<Instant> m_restartAt;
    std::set<std::uint32_t> m_slotsToReread; ///< Reads that had no answer, repeated at m_readRetryAt.
    std::set<std::uint32_t> m_chunksToReread;
    std::optional<Instant> m_readRetryAt;

    FencingNumber m_fence;
    EntrySequence m_nextSequence = 0;
    std::map<std::uint32_t, StoreVersion> m_slotVersions; ///< Version that the next write of each slot expects, where known.
    std::map<std::uint64_t, EntrySequence> m_sequenceByOperation;
    std::optional<Instant> m_versionRetryAt;
    Instant m_ownershipCheckedAt; ///< When the last append or ownership check began.
    std::deque<PendingRecord> m_pendingRecords;
    RecordIndex m_lastAppended = 0;
    RecordIndex m_lastCommitted = 0;
    std::optional<InFlightWrite> m_inFlightWrite;
    SnapshotReference m_snapshot;
    std::optional<SnapshotInProgress> m_snapshotInProgress;
    bool m_isReleasing = false;
    double m_appendAllowance = 0;
    Instant m_lastRefill;
};

} // namespace flamingo
