#include "scheduler/shard.h"

#include "core/log.h"
#include "core/visitors.h"

#include <fmt/format.h>

#include <utility>

namespace flamingo
{

namespace
{
constexpr std::size_t SnapshotChunkBytes = std::size_t(700) * 1024;

ProgramId programOf(const Record &record)
{
    return std::visit(Visitors{[](const ShardTakenOver &) { return ProgramId(); }, [](const auto &alternative) { return alternative.program; }}, record);
}
} // namespace

Shard::Shard(ShardId id, InstanceId self, std::string incarnation, JournalSettings settings)
    : m_id(id)
    , m_journal(fmt::format("shard/{}", id.value()), std::move(self), std::move(incarnation), settings)
{
}

void Shard::open(Instant now)
{
    m_journal.open(now);
}

void Shard::startHandover()
{
    m_isHandingOver = true;
}

void Shard::release()
{
    m_journal.release();
}

void Shard::checkOwnership()
{
    m_journal.checkOwnership();
}

void Shard::onReply(const StoreReply &reply, Instant now)
{
    m_journal.onReply(reply, now);
    advance(now);
}

void Shard::advance(Instant now)
{
    m_journal.advance(now);
    for (const JournalEvent &event : m_journal.takeEvents()) {
        std::visit(Visitors{[this](const JournalOpened &opened) { restoreState(opened); },
                            [this](const RecordsCommitted &) { m_events.emplace_back(ShardCommitted{}); },
                            [this](const OwnershipLost &lost) {
                                m_isOwned = false;
                                m_events.emplace_back(ShardLost{lost.newOwner});
                            },
                            [this](const OwnershipReleased &) {
                                m_isOwned = false;
                                m_events.emplace_back(ShardReleased{});
                            }},
                   event);
    }
    if (m_isOwned && m_journal.needsSnapshot()) {
        m_journal.startSnapshot(m_table.encodeSnapshot(SnapshotChunkBytes));
    }
}

void Shard::restoreState(const JournalOpened &opened)
{
    for (const std::string &chunk : opened.snapshotChunks) {
        if (!m_table.restoreSnapshotChunk(chunk)) {
            logChange("snapshot-unreadable", "shard={}", m_id.value());
        }
    }
    for (const nlohmann::json &json : opened.records) {
        const auto record = decodeRecord(json);
        const auto applied = record ? m_table.apply(*record) : Result<void>(failure(ErrorKind::MalformedRequest, "unreadable record"));
        if (!applied) {
            logChange("record-not-applied", "shard={} detail=\"{}\"", m_id.value(), applied.error().detail);
        }
    }
    m_isOwned = true;
    const bool hadPrograms = m_table.size() > 0;
    if (hadPrograms) {
        (void)appendRecord(ShardTakenOver{opened.fence});
        for (const Record &record : m_table.unresolvedClaimOutcomes()) {
            (void)appendRecord(record);
        }
    }
    m_events.emplace_back(ShardOpened{hadPrograms});
}

std::vector<StoreOperation> Shard::takeOperations()
{
    return m_journal.takeOperations();
}

std::vector<ShardEvent> Shard::takeEvents()
{
    return std::exchange(m_events, {});
}

Result<RecordIndex> Shard::appendRecord(const Record &record)
{
    const auto applied = m_table.apply(record);
    if (!applied) {
        return tl::make_unexpected(applied.error());
    }
    const RecordIndex index = m_journal.append(encodeRecord(record));
    const ProgramId program = programOf(record);
    if (std::holds_alternative<ProgramRemoved>(record)) {
        m_lastRecordIndex.erase(program);
        m_startRecordIndex.erase(program);
        return index;
    }
    m_lastRecordIndex[program] = index;
    if (std::holds_alternative<ProgramStarted>(record)) {
        m_startRecordIndex[program] = index;
    }
    return index;
}

bool Shard::isCommitted(RecordIndex index) const
{
    return m_journal.lastCommitted() >= index;
}

RecordIndex Shard::lastRecordIndex(const ProgramId &program) const
{
    const auto it = m_lastRecordIndex.find(program);
    return it == m_lastRecordIndex.end() ? 0 : it->second;
}

bool Shard::isDurable(const ProgramId &program) const
{
    return isCommitted(lastRecordIndex(program));
}

bool Shard::isStartDurable(const ProgramId &program) const
{
    const auto it = m_startRecordIndex.find(program);
    return it == m_startRecordIndex.end() || isCommitted(it->second);
}

ShardId Shard::id() const
{
    return m_id;
}

FencingNumber Shard::fence() const
{
    return m_journal.fence();
}

bool Shard::isOwned() const
{
    return m_isOwned;
}

bool Shard::isHandingOver() const
{
    return m_isHandingOver;
}

Milliseconds Shard::stalledFor(Instant now) const
{
    return m_journal.stalledFor(now);
}

std::size_t Shard::uncommittedRecords() const
{
    return m_journal.lastAppended() - m_journal.lastCommitted();
}

ProgramTable &Shard::table()
{
    return m_table;
}

const ProgramTable &Shard::table() const
{
    return m_table;
}

} // namespace flamingo
