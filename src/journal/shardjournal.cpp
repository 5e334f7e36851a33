#include "journal/shardjournal.h"

#include <fmt/format.h>

#include <algorithm>

namespace flamingo
{

namespace
{
/// Entries at the end of the ring that only takeovers may use, so that a new owner always has room for its entry.
constexpr std::uint32_t TakeoverReserve = 8;
/// Slots whose versions are known ahead of the next append.
constexpr EntrySequence VersionsAhead = 4;
/// How often an owner without appends looks whether it still is the owner.
constexpr Milliseconds OwnershipCheckPeriod{5000};
} // namespace

ShardJournal::ShardJournal(std::string keyPrefix, InstanceId writer, std::string incarnation, JournalSettings settings)
    : m_keyPrefix(std::move(keyPrefix))
    , m_writer(std::move(writer))
    , m_incarnation(std::move(incarnation))
    , m_settings(settings)
    , m_appendTokens(settings.appendBurst)
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

std::uint64_t ShardJournal::issue(StoreOperation::Kind kind, std::string key, std::string value, StoreVersion expectedVersion)
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

void ShardJournal::read(Instant now)
{
    m_isReadOnly = true;
    restartOpen(now);
}

void ShardJournal::restartOpen(Instant)
{
    m_state = State::FindingTail;
    m_slots.clear();
    m_slotByOperation.clear();
    m_chunkReads.clear();
    m_chunksRead.clear();
    m_slotVersions.clear();
    m_versionReads.clear();
    m_versionRetryAt.reset();
    m_tail.reset();
    m_inFlight.reset();
    m_restartAt.reset();
    m_unreadSlots.clear();
    m_unreadChunks.clear();
    m_rereadAt.reset();
    m_searchLow = 0;
    m_searchHigh = m_settings.ringSize;
    readSlot(0);
}

void ShardJournal::readSlot(std::uint32_t slot)
{
    const std::uint64_t id = issue(StoreOperation::Kind::Read, slotKey(slot));
    m_slotByOperation.emplace(id, slot);
}

void ShardJournal::onReply(const StoreReply &reply, Instant now)
{
    if (m_inFlight && m_inFlight->operation == reply.id) {
        onInFlightReply(reply, now);
    } else if (m_state == State::FindingTail || m_state == State::Reading) {
        onReadingReply(reply, now);
    } else if (const auto read = m_versionReads.find(reply.id); read != m_versionReads.end()) {
        const EntrySequence sequence = read->second;
        m_versionReads.erase(read);
        onVersionRead(sequence, reply, now);
    } else if (m_pendingSnapshot) {
        const auto it = m_pendingSnapshot->chunkByOperation.find(reply.id);
        if (it != m_pendingSnapshot->chunkByOperation.end()) {
            onChunkReply(it->second, reply, now);
        }
    }
    advance(now);
}

void ShardJournal::readChunk(std::uint32_t chunk)
{
    m_chunkReads.emplace(issue(StoreOperation::Kind::Read, chunkKey(m_snapshot.id, chunk)), chunk);
}

void ShardJournal::rereadLater(std::uint64_t operation, Instant now)
{
    const auto slot = m_slotByOperation.find(operation);
    const auto chunk = m_chunkReads.find(operation);
    if (slot != m_slotByOperation.end()) {
        m_unreadSlots.insert(slot->second);
        m_slotByOperation.erase(slot);
    } else if (chunk != m_chunkReads.end()) {
        m_unreadChunks.insert(chunk->second);
        m_chunkReads.erase(chunk);
    } else {
        return;
    }
    m_rereadAt = now + m_settings.retryDelay;
}

void ShardJournal::reread()
{
    m_rereadAt.reset();
    for (const std::uint32_t slot : std::exchange(m_unreadSlots, {})) {
        readSlot(slot);
    }
    for (const std::uint32_t chunk : std::exchange(m_unreadChunks, {})) {
        readChunk(chunk);
    }
}

void ShardJournal::onReadingReply(const StoreReply &reply, Instant now)
{
    if (reply.status == StoreReply::Status::Unknown) {
        rereadLater(reply.id, now);
        return;
    }
    const auto slot = m_slotByOperation.find(reply.id);
    if (slot != m_slotByOperation.end()) {
        const std::uint32_t n = slot->second;
        m_slotByOperation.erase(slot);
        onSlotRead(n, reply, now);
        return;
    }
    const auto chunk = m_chunkReads.find(reply.id);
    if (chunk == m_chunkReads.end()) {
        return;
    }
    if (reply.status == StoreReply::Status::Absent) {
        m_restartAt = now + m_settings.retryDelay;
        return;
    }
    m_chunksRead[chunk->second] = reply.value;
    m_chunkReads.erase(chunk);
    finishReading(now);
}

void ShardJournal::onSlotRead(std::uint32_t slot, const StoreReply &reply, Instant now)
{
    Slot &read = m_slots[slot];
    read.version = reply.status == StoreReply::Status::Absent ? 0 : reply.version;
    read.entry = reply.status == StoreReply::Status::Absent ? std::nullopt : decodeEntry(reply.value);
    if (m_state == State::FindingTail) {
        continueSearch(now);
    } else {
        finishReading(now);
    }
}

// Slots 0 to k of the ring hold entries of the newest round and the others those of the round before, so the newest
// entry is found by bisection. The invariant: slot m_searchLow is of the newest round, slot m_searchHigh is not.
void ShardJournal::continueSearch(Instant)
{
    const auto &first = m_slots[0].entry;
    if (!first) {
        m_tail.reset();
        startReading();
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
    startReading();
}

void ShardJournal::startReading()
{
    m_state = State::Reading;
    m_next = m_tail ? m_tail->sequence + 1 : 0;
    m_snapshot = m_tail ? m_tail->snapshot : SnapshotReference{};
    m_slots.clear();
    for (EntrySequence sequence = m_snapshot.replayFrom; sequence <= m_next; ++sequence) {
        readSlot(static_cast<std::uint32_t>(sequence % m_settings.ringSize));
    }
    for (std::uint32_t chunk = 0; chunk < m_snapshot.chunkCount; ++chunk) {
        readChunk(chunk);
    }
}

void ShardJournal::finishReading(Instant now)
{
    if (!m_slotByOperation.empty() || !m_chunkReads.empty() || m_rereadAt) {
        return;
    }
    for (EntrySequence sequence = m_snapshot.replayFrom; sequence < m_next; ++sequence) {
        const auto &entry = m_slots[sequence % m_settings.ringSize].entry;
        if (!entry || entry->sequence != sequence) {
            m_restartAt = now + m_settings.retryDelay;
            return;
        }
    }
    const auto &next = m_slots[m_next % m_settings.ringSize];
    if (next.entry && next.entry->sequence >= m_next) {
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
    // An entry that is needed for the replay is never overwritten, also when takeovers have used up the whole ring.
    if (m_next - m_snapshot.replayFrom >= m_settings.ringSize) {
        m_restartAt = now + OwnershipCheckPeriod;
        return;
    }
    m_fence = FencingNumber(m_fence.value() + 1);
    m_state = State::Claiming;
    startEntry(makeEntry(), 0, now);
}

JournalEntry ShardJournal::makeEntry()
{
    JournalEntry entry;
    entry.sequence = m_next;
    entry.fence = m_fence;
    entry.writer = m_writer;
    entry.batch = fmt::format("{}/{}/{}", m_writer.value(), m_incarnation, ++m_lastBatch);
    entry.snapshot = m_snapshot;
    return entry;
}

void ShardJournal::startEntry(JournalEntry entry, RecordIndex lastRecord, Instant now)
{
    InFlight inFlight;
    inFlight.value = encodeEntry(entry);
    inFlight.expectedVersion = m_slotVersions[entry.sequence % m_settings.ringSize];
    inFlight.entry = std::move(entry);
    inFlight.lastRecord = lastRecord;
    inFlight.startedAt = now;
    m_inFlight = std::move(inFlight);
    m_confirmedAt = now;
    writeInFlight();
}

void ShardJournal::writeInFlight()
{
    m_inFlight->isVerifying = false;
    m_inFlight->retryAt.reset();
    m_inFlight->operation = issue(StoreOperation::Kind::Write, slotKey(m_inFlight->entry.sequence), m_inFlight->value, m_inFlight->expectedVersion);
}

// A lost answer leaves the write undecided: it may have taken effect, or may still do so. Reading the slot back decides.
void ShardJournal::onInFlightReply(const StoreReply &reply, Instant now)
{
    if (m_inFlight->isVerifying) {
        onVerified(reply, now);
    } else if (reply.status == StoreReply::Status::Done) {
        onEntryCommitted(reply.version);
    } else if (reply.status == StoreReply::Status::Conflict) {
        m_inFlight->retryAt = now;
    } else {
        m_inFlight->retryAt = now + m_settings.retryDelay;
    }
}

void ShardJournal::onVerified(const StoreReply &reply, Instant now)
{
    if (reply.status == StoreReply::Status::Unknown) {
        m_inFlight->retryAt = now + m_settings.retryDelay;
        return;
    }
    const StoreVersion version = reply.status == StoreReply::Status::Absent ? 0 : reply.version;
    if (version == m_inFlight->expectedVersion) {
        writeInFlight();
        return;
    }
    const auto entry = decodeEntry(reply.value);
    if (entry && entry->batch == m_inFlight->entry.batch) {
        onEntryCommitted(version);
        return;
    }
    lose(entry.value_or(JournalEntry{}));
}

void ShardJournal::lose(const JournalEntry &winner)
{
    m_state = State::Lost;
    m_inFlight.reset();
    m_pendingSnapshot.reset();
    m_events.emplace_back(OwnershipLost{winner.writer, winner.fence});
}

void ShardJournal::onEntryCommitted(StoreVersion version)
{
    const InFlight committed = std::move(*m_inFlight);
    m_inFlight.reset();
    m_slotVersions[committed.entry.sequence % m_settings.ringSize] = version;
    m_next = committed.entry.sequence + 1;
    if (m_state == State::Claiming) {
        m_state = State::Owner;
        reportOpened();
        return;
    }
    if (committed.entry.snapshot.id != m_snapshot.id) {
        deleteSnapshot(m_snapshot);
        m_snapshot = committed.entry.snapshot;
        m_pendingSnapshot.reset();
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
    for (auto &[chunk, bytes] : m_chunksRead) {
        opened.snapshotChunks.push_back(std::move(bytes));
    }
    const EntrySequence end = m_tail ? m_tail->sequence + 1 : 0;
    for (EntrySequence sequence = m_snapshot.replayFrom; sequence < end; ++sequence) {
        auto &records = m_slots[sequence % m_settings.ringSize].entry->records;
        std::move(records.begin(), records.end(), std::back_inserter(opened.records));
    }
    m_slots.clear();
    m_chunksRead.clear();
    m_events.emplace_back(std::move(opened));
}

RecordIndex ShardJournal::append(nlohmann::json record)
{
    const std::size_t bytes = toCbor(record).size();
    m_pending.push_back({++m_lastAppended, std::move(record), bytes});
    return m_lastAppended;
}

void ShardJournal::release()
{
    m_isReleasing = true;
}

bool ShardJournal::needsSnapshot() const
{
    return m_state == State::Owner && !m_pendingSnapshot && !m_isReleasing && m_next - m_snapshot.replayFrom >= m_settings.ringSize / 2;
}

void ShardJournal::startSnapshot(std::vector<std::string> chunks)
{
    PendingSnapshot snapshot;
    snapshot.id = fmt::format("{}-{}", m_fence.value(), m_next);
    snapshot.chunks = std::move(chunks);
    snapshot.cutAfter = m_lastAppended;
    for (std::uint32_t chunk = 0; chunk < snapshot.chunks.size(); ++chunk) {
        snapshot.unwritten.insert(chunk);
    }
    m_pendingSnapshot = std::move(snapshot);
    writeUnwrittenChunks();
}

void ShardJournal::writeUnwrittenChunks()
{
    PendingSnapshot &snapshot = *m_pendingSnapshot;
    snapshot.retryAt.reset();
    snapshot.chunkByOperation.clear();
    for (const std::uint32_t chunk : snapshot.unwritten) {
        const std::uint64_t id = issue(StoreOperation::Kind::Write, chunkKey(snapshot.id, chunk), snapshot.chunks[chunk], 0);
        snapshot.chunkByOperation.emplace(id, chunk);
    }
}

// The keys of a snapshot are fresh, so a conflict means that an earlier try of this very write took effect.
void ShardJournal::onChunkReply(std::uint32_t chunk, const StoreReply &reply, Instant now)
{
    if (reply.status == StoreReply::Status::Unknown) {
        m_pendingSnapshot->retryAt = now + m_settings.retryDelay;
        return;
    }
    m_pendingSnapshot->unwritten.erase(chunk);
}

void ShardJournal::deleteSnapshot(const SnapshotReference &snapshot)
{
    for (std::uint32_t chunk = 0; chunk < snapshot.chunkCount; ++chunk) {
        issue(StoreOperation::Kind::Delete, chunkKey(snapshot.id, chunk));
    }
}

void ShardJournal::advance(Instant now)
{
    if (m_restartAt && now >= *m_restartAt) {
        restartOpen(now);
        return;
    }
    if (m_rereadAt && now >= *m_rereadAt) {
        reread();
    }
    if (m_inFlight && m_inFlight->retryAt && now >= *m_inFlight->retryAt) {
        m_inFlight->retryAt.reset();
        m_inFlight->isVerifying = true;
        m_inFlight->operation = issue(StoreOperation::Kind::Read, slotKey(m_inFlight->entry.sequence));
    }
    if (m_pendingSnapshot && m_pendingSnapshot->retryAt && now >= *m_pendingSnapshot->retryAt) {
        writeUnwrittenChunks();
    }
    if (m_state == State::Owner) {
        readVersionsAhead(now);
        if (now - m_confirmedAt >= OwnershipCheckPeriod) {
            m_confirmedAt = now;
            checkOwnership();
        }
    }
    if (m_state == State::Owner && !m_inFlight) {
        appendNext(now);
    }
}

// A new owner has read only the entries since the last snapshot. The versions of the slots that it will write next are
// read ahead of need; in the first round of the ring they are known to be absent.
void ShardJournal::readVersionsAhead(Instant now)
{
    if (m_versionRetryAt && now < *m_versionRetryAt) {
        return;
    }
    m_versionRetryAt.reset();
    for (EntrySequence sequence = m_next; sequence < m_next + VersionsAhead; ++sequence) {
        const auto slot = static_cast<std::uint32_t>(sequence % m_settings.ringSize);
        if (m_slotVersions.count(slot) != 0) {
            continue;
        }
        if (sequence < m_settings.ringSize) {
            m_slotVersions[slot] = 0;
            continue;
        }
        const bool isBeingRead = std::any_of(m_versionReads.begin(), m_versionReads.end(), [&](const auto &read) { return read.second == sequence; });
        if (!isBeingRead) {
            m_versionReads.emplace(issue(StoreOperation::Kind::Read, slotKey(sequence)), sequence);
        }
    }
}

void ShardJournal::checkOwnership()
{
    if (m_state == State::Owner && !m_inFlight) {
        m_versionReads.emplace(issue(StoreOperation::Kind::Read, slotKey(m_next)), m_next);
    }
}

void ShardJournal::onVersionRead(EntrySequence sequence, const StoreReply &reply, Instant now)
{
    if (reply.status == StoreReply::Status::Unknown) {
        m_versionRetryAt = now + m_settings.retryDelay;
        return;
    }
    const auto entry = decodeEntry(reply.value);
    if (sequence < m_next) {
        return;
    }
    if (entry && entry->sequence >= sequence) {
        lose(*entry);
        return;
    }
    m_slotVersions[static_cast<std::uint32_t>(sequence % m_settings.ringSize)] = reply.version;
}

bool ShardJournal::canAppend(Instant now)
{
    const std::chrono::duration<double> elapsed = now - m_lastRefill;
    m_lastRefill = now;
    m_appendTokens = std::min(m_settings.appendBurst, m_appendTokens + elapsed.count() * m_settings.appendsPerSecond);
    const bool hasSnapshot = m_pendingSnapshot && m_pendingSnapshot->unwritten.empty();
    const EntrySequence room = m_settings.ringSize - (hasSnapshot ? 1 : TakeoverReserve);
    const bool hasRoom = m_next - m_snapshot.replayFrom < room;
    const bool isVersionKnown = m_slotVersions.count(static_cast<std::uint32_t>(m_next % m_settings.ringSize)) != 0;
    return hasRoom && isVersionKnown && m_appendTokens >= 1;
}

void ShardJournal::appendNext(Instant now)
{
    const bool hasSnapshot = m_pendingSnapshot && m_pendingSnapshot->unwritten.empty();
    const bool isDue = !m_pending.empty() || hasSnapshot || m_isReleasing;
    if (!isDue || !canAppend(now)) {
        return;
    }
    m_appendTokens -= 1;
    JournalEntry entry = makeEntry();
    const bool isBeforeCut = m_pendingSnapshot && !m_pending.empty() && m_pending.front().index <= m_pendingSnapshot->cutAfter;
    RecordIndex lastRecord = m_lastCommitted;
    std::size_t bytes = 0;
    while (!m_pending.empty()) {
        PendingRecord &front = m_pending.front();
        const bool isPastCut = isBeforeCut && front.index > m_pendingSnapshot->cutAfter;
        const bool isFull = bytes > 0 && bytes + front.bytes > m_settings.maxEntryBytes;
        if (isPastCut || isFull) {
            break;
        }
        bytes += front.bytes;
        lastRecord = front.index;
        entry.records.push_back(std::move(front.record));
        m_pending.pop_front();
    }
    if (m_pendingSnapshot && !isBeforeCut) {
        PendingSnapshot &snapshot = *m_pendingSnapshot;
        snapshot.replayFrom = snapshot.replayFrom.value_or(entry.sequence);
        if (snapshot.unwritten.empty()) {
            entry.snapshot = {snapshot.id, static_cast<std::uint32_t>(snapshot.chunks.size()), *snapshot.replayFrom};
        }
    }
    entry.isReleased = m_isReleasing && m_pending.empty();
    startEntry(std::move(entry), lastRecord, now);
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
    return m_inFlight ? std::chrono::duration_cast<Milliseconds>(now - m_inFlight->startedAt) : Milliseconds(0);
}

} // namespace flamingo
