#include "journal/shardjournal.h"

#include <fmt/format.h>

#include <algorithm>

namespace flamingo
{

namespace
{
/// Entries of the ring that only takeovers use until a new snapshot is written, so that a new owner always has room for its
/// ownership entry.
constexpr std::uint32_t TakeoverReservedEntries = 8;
/// Number of slots whose versions are read ahead of the next append.
constexpr EntrySequence PrefetchedVersions = 4;
/// How often an owner without appends checks that it still owns the shard.
constexpr Milliseconds OwnershipCheckPeriod{5000};
} // namespace

ShardJournal::ShardJournal(std::string keyPrefix, InstanceId writer, std::string incarnation, JournalSettings settings)
    : m_keyPrefix(std::move(keyPrefix))
    , m_writer(std::move(writer))
    , m_incarnation(std::move(incarnation))
    , m_settings(settings)
    , m_appendAllowance(settings.appendBurst)
{
}

std::string ShardJournal::slotKey(EntrySequence sequence) const
{
    return fmt::format("{}/journal/{}", m_keyPrefix, sequence % m_settings.ringSize);
}

std::string ShardJournal::chunkKey(const std::string &id, std::uint32_t chunk) const
{
    return fmt::format("{}/snapshot/{}/{}", m_keyPrefix, id, chunk);
}

std::uint64_t ShardJournal::issueOperation(StoreOperation::Kind kind, std::string key, std::string value, StoreVersion expectedVersion)
{
    const std::uint64_t id = ++m_lastOperation;
    m_operations.push_back({id, kind, std::move(key), std::move(value), expectedVersion});
    return id;
}

void ShardJournal::open(Instant now)
{
    m_lastRefill = now;
    m_isReadOnly = false;
    restartOpen(now);
}

void ShardJournal::openReadOnly(Instant now)
{
    m_isReadOnly = true;
    restartOpen(now);
}

void ShardJournal::restartOpen(Instant)
{
    m_state = State::FindingTail;
    m_slots.clear();
    m_slotByOperation.clear();
    m_chunkByOperation.clear();
    m_chunkContents.clear();
    m_slotVersions.clear();
    m_sequenceByOperation.clear();
    m_versionRetryAt.reset();
    m_tail.reset();
    m_inFlightWrite.reset();
    m_restartAt.reset();
    m_slotsToReread.clear();
    m_chunksToReread.clear();
    m_readRetryAt.reset();
    m_searchLow = 0;
    m_searchHigh = m_settings.ringSize;
    readSlot(0);
}

void ShardJournal::readSlot(std::uint32_t slot)
{
    const std::uint64_t id = issueOperation(StoreOperation::Kind::Read, slotKey(slot));
    m_slotByOperation.emplace(id, slot);
}

void ShardJournal::onReply(const StoreReply &reply, Instant now)
{
    if (m_inFlightWrite && m_inFlightWrite->operation == reply.id) {
        onWriteReply(reply, now);
    } else if (m_state == State::FindingTail || m_state == State::Reading) {
        onOpeningReply(reply, now);
    } else if (const auto read = m_sequenceByOperation.find(reply.id); read != m_sequenceByOperation.end()) {
        const EntrySequence sequence = read->second;
        m_sequenceByOperation.erase(read);
        onVersionRead(sequence, reply, now);
    } else if (m_snapshotInProgress) {
        const auto it = m_snapshotInProgress->chunkByOperation.find(reply.id);
        if (it != m_snapshotInProgress->chunkByOperation.end()) {
            onChunkReply(it->second, reply, now);
        }
    }
    advance(now);
}

void ShardJournal::readChunk(std::uint32_t chunk)
{
    m_chunkByOperation.emplace(issueOperation(StoreOperation::Kind::Read, chunkKey(m_snapshot.id, chunk)), chunk);
}

void ShardJournal::scheduleReadRetry(std::uint64_t operation, Instant now)
{
    const auto slot = m_slotByOperation.find(operation);
    const auto chunk = m_chunkByOperation.find(operation);
    if (slot != m_slotByOperation.end()) {
        m_slotsToReread.insert(slot->second);
        m_slotByOperation.erase(slot);
    } else if (chunk != m_chunkByOperation.end()) {
        m_chunksToReread.insert(chunk->second);
        m_chunkByOperation.erase(chunk);
    } else {
        return;
    }
    m_readRetryAt = now + m_settings.retryDelay;
}

void ShardJournal::retryReads()
{
    m_readRetryAt.reset();
    for (const std::uint32_t slot : std::exchange(m_slotsToReread, {})) {
        readSlot(slot);
    }
    for (const std::uint32_t chunk : std::exchange(m_chunksToReread, {})) {
        readChunk(chunk);
    }
}

void ShardJournal::onOpeningReply(const StoreReply &reply, Instant now)
{
    if (reply.status == StoreReply::Status::Unknown) {
        scheduleReadRetry(reply.id, now);
        return;
    }
    const auto slot = m_slotByOperation.find(reply.id);
    if (slot != m_slotByOperation.end()) {
        const std::uint32_t n = slot->second;
        m_slotByOperation.erase(slot);
        onSlotRead(n, reply, now);
        return;
    }
    const auto chunk = m_chunkByOperation.find(reply.id);
    if (chunk == m_chunkByOperation.end()) {
        return;
    }
    if (reply.status == StoreReply::Status::Absent) {
        m_restartAt = now + m_settings.retryDelay;
        return;
    }
    m_chunkContents[chunk->second] = reply.value;
    m_chunkByOperation.erase(chunk);
    finishReadingIfComplete(now);
}

void ShardJournal::onSlotRead(std::uint32_t slot, const StoreReply &reply, Instant now)
{
    Slot &read = m_slots[slot];
    read.version = reply.status == StoreReply::Status::Absent ? 0 : reply.version;
    read.entry = reply.status == StoreReply::Status::Absent ? std::nullopt : decodeEntry(reply.value);
    if (m_state == State::FindingTail) {
        continueTailSearch(now);
    } else {
        finishReadingIfComplete(now);
    }
}

// Slots 0 to k of the ring hold entries of the newest round and the others entries of the previous round (or none in the first
// round), so the newest entry is found by binary search. The invariant: slot m_searchLow is of the newest round, slot
// m_searchHigh is not.
void ShardJournal::continueTailSearch(Instant)
{
    const auto &first = m_slots[0].entry;
    if (!first) {
        m_tail.reset();
        startReadingState();
        return;
    }
    while (m_searchHigh - m_searchLow > 1) {
        const std::uint32_t middle = m_searchLow + (m_searchHigh - m_searchLow) / 2;
        const auto it = m_slots.find(middle);
        if (it == m_slots.end()) {
            readSlot(middle);
            return;
        }
        const bool isNewestRound = it->second.entry && it->second.entry->sequence == first->sequence + middle;
        (isNewestRound ? m_searchLow : m_searchHigh) = middle;
    }
    m_tail = m_slots[m_searchLow].entry;
    startReadingState();
}

void ShardJournal::startReadingState()
{
    m_state = State::Reading;
    m_nextSequence = m_tail ? m_tail->sequence + 1 : 0;
    m_snapshot = m_tail ? m_tail->snapshot : SnapshotReference{};
    m_slots.clear();
    for (EntrySequence sequence = m_snapshot.replayFrom; sequence <= m_nextSequence; ++sequence) {
        readSlot(static_cast<std::uint32_t>(sequence % m_settings.ringSize));
    }
    for (std::uint32_t chunk = 0; chunk < m_snapshot.chunkCount; ++chunk) {
        readChunk(chunk);
    }
}

void ShardJournal::finishReadingIfComplete(Instant now)
{
    if (!m_slotByOperation.empty() || !m_chunkByOperation.empty() || m_readRetryAt) {
        return;
    }
    for (EntrySequence sequence = m_snapshot.replayFrom; sequence < m_nextSequence; ++sequence) {
        const auto &entry = m_slots[sequence % m_settings.ringSize].entry;
        if (!entry || entry->sequence != sequence) {
            m_restartAt = now + m_settings.retryDelay;
            return;
        }
    }
    const auto &next = m_slots[m_nextSequence % m_settings.ringSize];
    if (next.entry && next.entry->sequence >= m_nextSequence) {
        m_restartAt = now + m_settings.retryDelay;
        return;
    }
    for (const auto &[slot, read] : m_slots) {
        m_slotVersions[slot] = read.version;
    }
    m_fence = m_tail ? m_tail->fence : FencingNumber(0);
    if (m_isReadOnly) {
        m_state = State::Closed;
        reportOpened();
        return;
    }
    // An entry that is needed for the replay is never overwritten, even when takeovers have filled the whole ring. The journal is
    // read again later, since another owner's snapshot may have freed entries by then.
    if (m_nextSequence - m_snapshot.replayFrom >= m_settings.ringSize) {
        m_restartAt = now + OwnershipCheckPeriod;
        return;
    }
    m_fence = FencingNumber(m_fence.value() + 1);
    m_state = State::TakingOver;
    startWrite(makeEntry(), 0, now);
}

JournalEntry ShardJournal::makeEntry()
{
    JournalEntry entry;
    entry.sequence = m_nextSequence;
    entry.fence = m_fence;
    entry.writer = m_writer;
    entry.batch = fmt::format("{}/{}/{}", m_writer.value(), m_incarnation, ++m_lastBatchNumber);
    entry.snapshot = m_snapshot;
    return entry;
}

void ShardJournal::startWrite(JournalEntry entry, RecordIndex lastRecord, Instant now)
{
    InFlightWrite inFlight;
    inFlight.value = encodeEntry(entry);
    inFlight.expectedVersion = m_slotVersions[entry.sequence % m_settings.ringSize];
    inFlight.entry = std::move(entry);
    inFlight.lastRecord = lastRecord;
    inFlight.startedAt = now;
    m_inFlightWrite = std::move(inFlight);
    m_ownershipCheckedAt = now;
    issueInFlightWrite();
}

void ShardJournal::issueInFlightWrite()
{
    m_inFlightWrite->isReadingBack = false;
    m_inFlightWrite->retryAt.reset();
    m_inFlightWrite->operation =
        issueOperation(StoreOperation::Kind::Write, slotKey(m_inFlightWrite->entry.sequence), m_inFlightWrite->value, m_inFlightWrite->expectedVersion);
}

// A write without an answer may have taken effect, or may still do so. Reading the slot back tells which; if the slot is
// unchanged, the write is repeated on the same expected version, so that only one of the two can take effect.
void ShardJournal::onWriteReply(const StoreReply &reply, Instant now)
{
    if (m_inFlightWrite->isReadingBack) {
        onReadBack(reply, now);
    } else if (reply.status == StoreReply::Status::Done) {
        onEntryCommitted(reply.version);
    } else if (reply.status == StoreReply::Status::Conflict) {
        m_inFlightWrite->retryAt = now;
    } else {
        m_inFlightWrite->retryAt = now + m_settings.retryDelay;
    }
}

void ShardJournal::onReadBack(const StoreReply &reply, Instant now)
{
    if (reply.status == StoreReply::Status::Unknown) {
        m_inFlightWrite->retryAt = now + m_settings.retryDelay;
        return;
    }
    const StoreVersion version = reply.status == StoreReply::Status::Absent ? 0 : reply.version;
    if (version == m_inFlightWrite->expectedVersion) {
        issueInFlightWrite();
        return;
    }
    const auto entry = decodeEntry(reply.value);
    if (entry && entry->batch == m_inFlightWrite->entry.batch) {
        onEntryCommitted(version);
        return;
    }
    loseOwnership(entry.value_or(JournalEntry{}));
}

void ShardJournal::loseOwnership(const JournalEntry &newerEntry)
{
    m_state = State::Lost;
    m_inFlightWrite.reset();
    m_snapshotInProgress.reset();
    m_events.emplace_back(OwnershipLost{newerEntry.writer, newerEntry.fence});
}

void ShardJournal::onEntryCommitted(StoreVersion version)
{
    const InFlightWrite committed = std::move(*m_inFlightWrite);
    m_inFlightWrite.reset();
    m_slotVersions[committed.entry.sequence % m_settings.ringSize] = version;
    m_nextSequence = committed.entry.sequence + 1;
    if (m_state == State::TakingOver) {
        m_state = State::Owner;
        reportOpened();
        return;
    }
    if (committed.entry.snapshot.id != m_snapshot.id) {
        deleteSnapshot(m_snapshot);
        m_snapshot = committed.entry.snapshot;
        m_snapshotInProgress.reset();
    }
    if (committed.lastRecord > m_lastCommitted) {
        m_lastCommitted = committed.lastRecord;
        m_events.emplace_back(RecordsCommitted{m_lastCommitted});
    }
    if (committed.entry.isReleased) {
        m_state = State::Released;
        m_events.emplace_back(OwnershipReleased{});
    }
}

void ShardJournal::reportOpened()
{
    JournalOpened opened;
    opened.fence = m_fence;
    for (auto &[chunk, bytes] : m_chunkContents) {
        opened.snapshotChunks.push_back(std::move(bytes));
    }
    const EntrySequence end = m_tail ? m_tail->sequence + 1 : 0;
    for (EntrySequence sequence = m_snapshot.replayFrom; sequence < end; ++sequence) {
        auto &records = m_slots[sequence % m_settings.ringSize].entry->records;
        std::move(records.begin(), records.end(), std::back_inserter(opened.records));
    }
    m_slots.clear();
    m_chunkContents.clear();
    m_events.emplace_back(std::move(opened));
}

RecordIndex ShardJournal::append(nlohmann::json record)
{
    const std::size_t bytes = toCbor(record).size();
    m_pendingRecords.push_back({++m_lastAppended, std::move(record), bytes});
    return m_lastAppended;
}

void ShardJournal::release()
{
    m_isReleasing = true;
}

bool ShardJournal::needsSnapshot() const
{
    return m_state == State::Owner && !m_snapshotInProgress && !m_isReleasing && m_nextSequence - m_snapshot.replayFrom >= m_settings.ringSize / 2;
}

void ShardJournal::startSnapshot(std::vector<std::string> chunks)
{
    SnapshotInProgress snapshot;
    snapshot.id = fmt::format("{}-{}", m_fence.value(), m_nextSequence);
    snapshot.chunks = std::move(chunks);
    snapshot.lastIncludedRecord = m_lastAppended;
    for (std::uint32_t chunk = 0; chunk < snapshot.chunks.size(); ++chunk) {
        snapshot.unwrittenChunks.insert(chunk);
    }
    m_snapshotInProgress = std::move(snapshot);
    writeUnwrittenChunks();
}

void ShardJournal::writeUnwrittenChunks()
{
    SnapshotInProgress &snapshot = *m_snapshotInProgress;
    snapshot.retryAt.reset();
    snapshot.chunkByOperation.clear();
    for (const std::uint32_t chunk : snapshot.unwrittenChunks) {
        const std::uint64_t id = issueOperation(StoreOperation::Kind::Write, chunkKey(snapshot.id, chunk), snapshot.chunks[chunk], 0);
        snapshot.chunkByOperation.emplace(id, chunk);
    }
}

// Each snapshot has new keys, so a conflict means that an earlier attempt of the same write took effect.
void ShardJournal::onChunkReply(std::uint32_t chunk, const StoreReply &reply, Instant now)
{
    if (reply.status == StoreReply::Status::Unknown) {
        m_snapshotInProgress->retryAt = now + m_settings.retryDelay;
        return;
    }
    m_snapshotInProgress->unwrittenChunks.erase(chunk);
}

void ShardJournal::deleteSnapshot(const SnapshotReference &snapshot)
{
    for (std::uint32_t chunk = 0; chunk < snapshot.chunkCount; ++chunk) {
        issueOperation(StoreOperation::Kind::Delete, chunkKey(snapshot.id, chunk));
    }
}

void ShardJournal::advance(Instant now)
{
    if (m_restartAt && now >= *m_restartAt) {
        restartOpen(now);
        return;
    }
    if (m_readRetryAt && now >= *m_readRetryAt) {
        retryReads();
    }
    if (m_inFlightWrite && m_inFlightWrite->retryAt && now >= *m_inFlightWrite->retryAt) {
        m_inFlightWrite->retryAt.reset();
        m_inFlightWrite->isReadingBack = true;
        m_inFlightWrite->operation = issueOperation(StoreOperation::Kind::Read, slotKey(m_inFlightWrite->entry.sequence));
    }
    if (m_snapshotInProgress && m_snapshotInProgress->retryAt && now >= *m_snapshotInProgress->retryAt) {
        writeUnwrittenChunks();
    }
    if (m_state == State::Owner) {
        prefetchSlotVersions(now);
        if (now - m_ownershipCheckedAt >= OwnershipCheckPeriod) {
            m_ownershipCheckedAt = now;
            checkOwnership();
        }
    }
    if (m_state == State::Owner && !m_inFlightWrite) {
        appendNextEntry(now);
    }
}

// A new owner has read only the entries since the last snapshot. The versions of the slots that it will write next are
// read in advance; in the first round of the ring these slots are known to be absent.
void ShardJournal::prefetchSlotVersions(Instant now)
{
    if (m_versionRetryAt && now < *m_versionRetryAt) {
        return;
    }
    m_versionRetryAt.reset();
    for (EntrySequence sequence = m_nextSequence; sequence < m_nextSequence + PrefetchedVersions; ++sequence) {
        const auto slot = static_cast<std::uint32_t>(sequence % m_settings.ringSize);
        if (m_slotVersions.count(slot) != 0) {
            continue;
        }
        if (sequence < m_settings.ringSize) {
            m_slotVersions[slot] = 0;
            continue;
        }
        const bool isBeingRead =
            std::any_of(m_sequenceByOperation.begin(), m_sequenceByOperation.end(), [&](const auto &read) { return read.second == sequence; });
        if (!isBeingRead) {
            m_sequenceByOperation.emplace(issueOperation(StoreOperation::Kind::Read, slotKey(sequence)), sequence);
        }
    }
}

void ShardJournal::checkOwnership()
{
    if (m_state == State::Owner && !m_inFlightWrite) {
        m_sequenceByOperation.emplace(issueOperation(StoreOperation::Kind::Read, slotKey(m_nextSequence)), m_nextSequence);
    }
}

void ShardJournal::onVersionRead(EntrySequence sequence, const StoreReply &reply, Instant now)
{
    if (reply.status == StoreReply::Status::Unknown) {
        m_versionRetryAt = now + m_settings.retryDelay;
        return;
    }
    const auto entry = decodeEntry(reply.value);
    if (sequence < m_nextSequence) {
        return;
    }
    if (entry && entry->sequence >= sequence) {
        loseOwnership(*entry);
        return;
    }
    m_slotVersions[static_cast<std::uint32_t>(sequence % m_settings.ringSize)] = reply.version;
}

bool ShardJournal::canAppend(Instant now)
{
    const std::chrono::duration<double> elapsed = now - m_lastRefill;
    m_lastRefill = now;
    m_appendAllowance = std::min(m_settings.appendBurst, m_appendAllowance + elapsed.count() * m_settings.appendsPerSecond);
    const bool isSnapshotWritten = m_snapshotInProgress && m_snapshotInProgress->unwrittenChunks.empty();
    const EntrySequence usableEntries = m_settings.ringSize - (isSnapshotWritten ? 1 : TakeoverReservedEntries);
    const bool hasRoom = m_nextSequence - m_snapshot.replayFrom < usableEntries;
    const bool isVersionKnown = m_slotVersions.count(static_cast<std::uint32_t>(m_nextSequence % m_settings.ringSize)) != 0;
    return hasRoom && isVersionKnown && m_appendAllowance >= 1;
}

void ShardJournal::appendNextEntry(Instant now)
{
    const bool isSnapshotWritten = m_snapshotInProgress && m_snapshotInProgress->unwrittenChunks.empty();
    const bool isDue = !m_pendingRecords.empty() || isSnapshotWritten || m_isReleasing;
    if (!isDue || !canAppend(now)) {
        return;
    }
    m_appendAllowance -= 1;
    JournalEntry entry = makeEntry();
    const bool hasIncludedRecords =
        m_snapshotInProgress && !m_pendingRecords.empty() && m_pendingRecords.front().index <= m_snapshotInProgress->lastIncludedRecord;
    RecordIndex lastRecord = m_lastCommitted;
    std::size_t bytes = 0;
    while (!m_pendingRecords.empty()) {
        PendingRecord &front = m_pendingRecords.front();
        const bool isAfterSnapshot = hasIncludedRecords && front.index > m_snapshotInProgress->lastIncludedRecord;
        const bool isFull = bytes > 0 && bytes + front.bytes > m_settings.maxEntryBytes;
        if (isAfterSnapshot || isFull) {
            break;
        }
        bytes += front.bytes;
        lastRecord = front.index;
        entry.records.push_back(std::move(front.record));
        m_pendingRecords.pop_front();
    }
    if (m_snapshotInProgress && !hasIncludedRecords) {
        SnapshotInProgress &snapshot = *m_snapshotInProgress;
        snapshot.replayFrom = snapshot.replayFrom.value_or(entry.sequence);
        if (snapshot.unwrittenChunks.empty()) {
            entry.snapshot = {snapshot.id, static_cast<std::uint32_t>(snapshot.chunks.size()), *snapshot.replayFrom};
        }
    }
    entry.isReleased = m_isReleasing && m_pendingRecords.empty();
    startWrite(std::move(entry), lastRecord, now);
}

std::vector<StoreOperation> ShardJournal::takeOperations()
{
    return std::exchange(m_operations, {});
}

std::vector<JournalEvent> ShardJournal::takeEvents()
{
    return std::exchange(m_events, {});
}

bool ShardJournal::isOwner() const
{
    return m_state == State::Owner;
}

FencingNumber ShardJournal::fence() const
{
    return m_fence;
}

RecordIndex ShardJournal::lastAppended() const
{
    return m_lastAppended;
}

RecordIndex ShardJournal::lastCommitted() const
{
    return m_lastCommitted;
}

Milliseconds ShardJournal::stalledFor(Instant now) const
{
    return m_inFlightWrite ? std::chrono::duration_cast<Milliseconds>(now - m_inFlightWrite->startedAt) : Milliseconds(0);
}

} // namespace flamingo
