#include "configuration/configurationreplica.h"

#include "core/log.h"
#include "core/visitors.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace flamingo
{

namespace
{
constexpr const char *KeyPrefix = "config";
constexpr Milliseconds TicketTimeout{8000};
constexpr std::size_t SnapshotChunkBytes = std::size_t(700) * 1024;

std::vector<std::string> encodeSnapshot(const Configuration &configuration)
{
    std::vector<std::string> chunks;
    nlohmann::json objects = nlohmann::json::array();
    std::size_t chunkBytes = 0;
    for (const auto &[key, object] : configuration.objects()) {
        nlohmann::json json = object;
        chunkBytes += toCbor(json).size();
        objects.push_back(std::move(json));
        if (chunkBytes >= SnapshotChunkBytes) {
            chunks.push_back(toCbor(std::exchange(objects, nlohmann::json::array())));
            chunkBytes = 0;
        }
    }
    chunks.push_back(toCbor(objects));
    return chunks;
}
} // namespace

ConfigurationReplica::ConfigurationReplica(const InstanceId &self, const std::string &incarnation, const JournalSettings &settings)
    : m_self(self)
    , m_incarnation(incarnation)
    , m_settings(settings)
{
}

std::string ConfigurationReplica::watchPrefix()
{
    return std::string(KeyPrefix) + "/journal/";
}

void ConfigurationReplica::readAll(Instant now)
{
    if (!m_reader) {
        m_reader = std::make_unique<ShardJournal>(KeyPrefix, m_self, m_incarnation + "-reader", m_settings);
        m_reader->openReadOnly(now);
        collectOperations(*m_reader, JournalRole::Reader);
    }
}

// The first results of a watch include old entries, which would make an outdated state of an object visible until its newer
// entries arrive. They are therefore merged only after the whole configuration has been read.
void ConfigurationReplica::onKeysWritten(const std::vector<StoreValue> &values)
{
    for (const StoreValue &it : values) {
        if (m_hasReadAll) {
            mergeEntry(it.value);
        } else {
            m_deferredValues[it.key] = it.value;
        }
    }
}

void ConfigurationReplica::mergeObjects(const std::vector<ConfigObject> &objects)
{
    for (const ConfigObject &object : objects) {
        mergeObject(object);
    }
}

void ConfigurationReplica::mergeObject(const ConfigObject &object)
{
    if (m_configuration.merge(object)) {
        m_changedObjects.push_back(object);
    }
}

void ConfigurationReplica::mergeRecord(const nlohmann::json &record)
{
    try {
        for (const auto &item : record.at("objects")) {
            mergeObject(item.get<ConfigObject>());
        }
    } catch (const nlohmann::json::exception &) {
        // A newer version wrote this record. This process gets its content only if a peer that understands it sends it.
        return;
    }
}

void ConfigurationReplica::mergeEntry(const std::string &bytes)
{
    const auto entry = decodeEntry(bytes);
    if (!entry) {
        logChange("configuration-entry-unreadable", "bytes={}", bytes.size());
        return;
    }
    for (const auto &record : entry->records) {
        mergeRecord(record);
    }
}

SubmissionId ConfigurationReplica::submit(Ticket ticket, Instant now)
{
    Submission submission;
    submission.id = ++m_lastSubmission;
    submission.ticket = std::move(ticket);
    submission.deadline = now + TicketTimeout;
    m_submissions.push_back(std::move(submission));
    advance(now);
    return m_lastSubmission;
}

void ConfigurationReplica::openWriter(Instant now)
{
    const std::string incarnation = fmt::format("{}-{}", m_incarnation, ++m_writerCount);
    m_writer = std::make_unique<ShardJournal>(KeyPrefix, m_self, incarnation, m_settings);
    m_writer->open(now);
}

// Tickets are validated only while this process owns the journal, because only then it has read all earlier tickets.
void ConfigurationReplica::processSubmissions()
{
    std::vector<TicketDecision> decisions;
    for (Submission &submission : m_submissions) {
        if (submission.recordIndex != 0) {
            continue;
        }
        auto result = m_configuration.validate(submission.ticket);
        if (!result || m_configuration.isApplied(submission.ticket)) {
            decisions.push_back({submission.id, std::move(result)});
            continue;
        }
        submission.recordIndex = m_writer->append({{"objects", submission.ticket.objects}});
        submission.wasAppended = true;
        // The next ticket in the queue has to be validated on top of this one, so it waits until this one is committed.
        break;
    }
    for (TicketDecision &decision : decisions) {
        finishSubmission(decision.id, std::move(decision.result));
    }
}

void ConfigurationReplica::finishSubmission(SubmissionId id, Result<void> result)
{
    m_submissions.erase(std::remove_if(m_submissions.begin(), m_submissions.end(), [&](const Submission &submission) { return submission.id == id; }),
                        m_submissions.end());
    m_decisions.push_back({id, std::move(result)});
}

void ConfigurationReplica::onReply(const StoreReply &reply, Instant now)
{
    const auto it = m_pendingOperations.find(reply.id);
    if (it == m_pendingOperations.end()) {
        return;
    }
    const PendingOperation pending = it->second;
    m_pendingOperations.erase(it);
    StoreReply journalReply = reply;
    journalReply.id = pending.id;
    if (pending.role == JournalRole::Writer && m_writer) {
        m_writer->onReply(journalReply, now);
    } else if (pending.role == JournalRole::Reader && m_reader) {
        m_reader->onReply(journalReply, now);
    }
    advance(now);
}

void ConfigurationReplica::mergeJournal(const JournalOpened &opened)
{
    for (const std::string &chunk : opened.snapshotChunks) {
        const auto objects = fromCbor(chunk);
        if (objects) {
            mergeRecord({{"objects", *objects}});
        }
    }
    for (const auto &record : opened.records) {
        mergeRecord(record);
    }
    m_hasReadAll = true;
    for (const auto &[key, bytes] : std::exchange(m_deferredValues, {})) {
        mergeEntry(bytes);
    }
}

void ConfigurationReplica::advanceReader(Instant now)
{
    if (!m_reader) {
        return;
    }
    m_reader->advance(now);
    collectOperations(*m_reader, JournalRole::Reader);
    for (const JournalEvent &event : m_reader->takeEvents()) {
        if (const auto *opened = std::get_if<JournalOpened>(&event)) {
            mergeJournal(*opened);
        }
    }
    if (m_hasReadAll) {
        m_reader.reset();
    }
}

void ConfigurationReplica::advanceWriter(Instant now)
{
    if (!m_writer) {
        return;
    }
    m_writer->advance(now);
    bool isLost = false;
    for (const JournalEvent &event : m_writer->takeEvents()) {
        std::visit(Visitors{[this](const JournalOpened &opened) { mergeJournal(opened); },
                            [this](const RecordsCommitted &committed) {
                                const auto submissions = m_submissions;
                                for (const Submission &submission : submissions) {
                                    if (submission.recordIndex != 0 && submission.recordIndex <= committed.upTo) {
                                        mergeObjects(submission.ticket.objects);
                                        finishSubmission(submission.id, {});
                                    }
                                }
                            },
                            [&](const OwnershipLost &) { isLost = true; },
                            [](const OwnershipReleased &) {}},
                   event);
    }
    if (m_writer->isOwner() && m_writer->needsSnapshot()) {
        m_writer->startSnapshot(encodeSnapshot(m_configuration));
    }
    collectOperations(*m_writer, JournalRole::Writer);
    if (isLost) {
        m_writer.reset();
        for (Submission &submission : m_submissions) {
            submission.recordIndex = 0;
        }
    }
}

void ConfigurationReplica::collectOperations(ShardJournal &journal, JournalRole role)
{
    for (StoreOperation &operation : journal.takeOperations()) {
        const std::uint64_t id = ++m_lastOperation;
        m_pendingOperations[id] = {role, operation.id};
        operation.id = id;
        m_operations.push_back(std::move(operation));
    }
}

void ConfigurationReplica::expireSubmissions(Instant now)
{
    const auto submissions = m_submissions;
    for (const Submission &submission : submissions) {
        if (now < submission.deadline) {
            continue;
        }
        if (submission.wasAppended) {
            finishSubmission(submission.id, failure(ErrorKind::TicketUndecided, "the store has not answered; ask what is in force or apply the ticket again"));
        } else {
            finishSubmission(submission.id, failure(ErrorKind::StoreUnavailable, "the store can't be reached; the ticket is not in force"));
        }
    }
}

void ConfigurationReplica::advance(Instant now)
{
    if (!m_submissions.empty() && !m_writer) {
        openWriter(now);
    }
    if (m_writer && m_writer->isOwner()) {
        processSubmissions();
    }
    advanceWriter(now);
    if (m_writer && m_writer->isOwner()) {
        processSubmissions();
        advanceWriter(now);
    }
    advanceReader(now);
    expireSubmissions(now);
}

std::vector<StoreOperation> ConfigurationReplica::takeOperations()
{
    return std::exchange(m_operations, {});
}

std::vector<TicketDecision> ConfigurationReplica::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

std::vector<ConfigObject> ConfigurationReplica::takeChangedObjects()
{
    return std::exchange(m_changedObjects, {});
}

const Configuration &ConfigurationReplica::configuration() const
{
    return m_configuration;
}

bool ConfigurationReplica::hasReadAll() const
{
    return m_hasReadAll;
}

} // namespace flamingo
