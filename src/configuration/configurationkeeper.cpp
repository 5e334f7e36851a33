#include "configuration/configurationkeeper.h"

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
    nlohmann::json piece = nlohmann::json::array();
    std::size_t bytes = 0;
    for (const auto &[key, object] : configuration.objects()) {
        nlohmann::json json = object;
        bytes += toCbor(json).size();
        piece.push_back(std::move(json));
        if (bytes >= SnapshotChunkBytes) {
            chunks.push_back(toCbor(std::exchange(piece, nlohmann::json::array())));
            bytes = 0;
        }
    }
    chunks.push_back(toCbor(piece));
    return chunks;
}
} // namespace

ConfigurationKeeper::ConfigurationKeeper(const InstanceId &self, const std::string &incarnation, const JournalSettings &settings)
    : m_self(self)
    , m_incarnation(incarnation)
    , m_settings(settings)
{
}

std::string ConfigurationKeeper::watchPrefix()
{
    return std::string(KeyPrefix) + "/journal/";
}

void ConfigurationKeeper::readAll(Instant now)
{
    if (!m_reader) {
        m_reader = std::make_unique<ShardJournal>(KeyPrefix, m_self, m_incarnation + "-reader", m_settings);
        m_reader->openReadOnly(now);
        collect(*m_reader, Source::Reader);
    }
}

// Old entries are among them at first, so what they hold comes into force only on top of the whole.
void ConfigurationKeeper::onWritten(const std::vector<StoreValue> &values)
{
    for (const StoreValue &it : values) {
        if (m_hasRead) {
            mergeEntry(it.value);
        } else {
            m_early[it.key] = it.value;
        }
    }
}

void ConfigurationKeeper::learn(const std::vector<ConfigObject> &objects)
{
    for (const ConfigObject &object : objects) {
        merge(object);
    }
}

void ConfigurationKeeper::merge(const ConfigObject &object)
{
    if (m_configuration.merge(object)) {
        m_news.push_back(object);
    }
}

void ConfigurationKeeper::mergeRecord(const nlohmann::json &record)
{
    try {
        for (const auto &item : record.at("objects")) {
            merge(item.get<ConfigObject>());
        }
    } catch (const nlohmann::json::exception &) {
        // A record of a later version: what it holds reaches this process by peers that know it, or not at all.
        return;
    }
}

void ConfigurationKeeper::mergeEntry(const std::string &bytes)
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

SubmissionId ConfigurationKeeper::submit(Ticket ticket, Instant now)
{
    Submission submission;
    submission.id = ++m_lastSubmission;
    submission.ticket = std::move(ticket);
    submission.deadline = now + TicketTimeout;
    m_submissions.push_back(std::move(submission));
    advance(now);
    return m_lastSubmission;
}

void ConfigurationKeeper::openWriter(Instant now)
{
    const std::string incarnation = fmt::format("{}-{}", m_incarnation, ++m_writerCount);
    m_writer = std::make_unique<ShardJournal>(KeyPrefix, m_self, incarnation, m_settings);
    m_writer->open(now);
}

// A ticket is checked only while this process owns the journal, so on top of every ticket before it.
void ConfigurationKeeper::processSubmissions()
{
    std::vector<TicketDecision> decided;
    for (Submission &submission : m_submissions) {
        if (submission.record != 0) {
            continue;
        }
        auto checked = m_configuration.check(submission.ticket);
        if (!checked || m_configuration.holds(submission.ticket)) {
            decided.push_back({submission.id, std::move(checked)});
            continue;
        }
        submission.record = m_writer->append({{"objects", submission.ticket.objects}});
        submission.wasAppended = true;
        // A later ticket in this queue is checked on top of this one only when this one is in the store.
        break;
    }
    for (TicketDecision &decision : decided) {
        decide(decision.id, std::move(decision.result));
    }
}

void ConfigurationKeeper::decide(SubmissionId id, Result<void> result)
{
    m_submissions.erase(std::remove_if(m_submissions.begin(), m_submissions.end(), [&](const Submission &submission) { return submission.id == id; }),
                        m_submissions.end());
    m_decisions.push_back({id, std::move(result)});
}

void ConfigurationKeeper::onReply(const StoreReply &reply, Instant now)
{
    const auto it = m_routes.find(reply.id);
    if (it == m_routes.end()) {
        return;
    }
    const Route route = it->second;
    m_routes.erase(it);
    StoreReply routed = reply;
    routed.id = route.id;
    if (route.source == Source::Writer && m_writer) {
        m_writer->onReply(routed, now);
    } else if (route.source == Source::Reader && m_reader) {
        m_reader->onReply(routed, now);
    }
    advance(now);
}

void ConfigurationKeeper::install(const JournalOpened &opened)
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
    m_hasRead = true;
    for (const auto &[key, bytes] : std::exchange(m_early, {})) {
        mergeEntry(bytes);
    }
}

void ConfigurationKeeper::pumpReader(Instant now)
{
    if (!m_reader) {
        return;
    }
    m_reader->advance(now);
    collect(*m_reader, Source::Reader);
    for (const JournalEvent &event : m_reader->takeEvents()) {
        if (const auto *opened = std::get_if<JournalOpened>(&event)) {
            install(*opened);
        }
    }
    if (m_hasRead) {
        m_reader.reset();
    }
}

void ConfigurationKeeper::pumpWriter(Instant now)
{
    if (!m_writer) {
        return;
    }
    m_writer->advance(now);
    bool isLost = false;
    for (const JournalEvent &event : m_writer->takeEvents()) {
        std::visit(Visitors{[this](const JournalOpened &opened) { install(opened); },
                            [this](const RecordsCommitted &committed) {
                                const auto submissions = m_submissions;
                                for (const Submission &submission : submissions) {
                                    if (submission.record != 0 && submission.record <= committed.upTo) {
                                        learn(submission.ticket.objects);
                                        decide(submission.id, {});
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
    collect(*m_writer, Source::Writer);
    if (isLost) {
        m_writer.reset();
        for (Submission &submission : m_submissions) {
            submission.record = 0;
        }
    }
}

void ConfigurationKeeper::collect(ShardJournal &journal, Source source)
{
    for (StoreOperation &operation : journal.takeOperations()) {
        const std::uint64_t id = ++m_lastOperation;
        m_routes[id] = {source, operation.id};
        operation.id = id;
        m_operations.push_back(std::move(operation));
    }
}

void ConfigurationKeeper::expire(Instant now)
{
    const auto submissions = m_submissions;
    for (const Submission &submission : submissions) {
        if (now < submission.deadline) {
            continue;
        }
        if (submission.wasAppended) {
            decide(submission.id, failure(ErrorKind::TicketUndecided, "the store has not answered; ask what is in force or apply the ticket again"));
        } else {
            decide(submission.id, failure(ErrorKind::StoreUnavailable, "the store can't be reached; the ticket is not in force"));
        }
    }
}

void ConfigurationKeeper::advance(Instant now)
{
    if (!m_submissions.empty() && !m_writer) {
        openWriter(now);
    }
    if (m_writer && m_writer->isOwner()) {
        processSubmissions();
    }
    pumpWriter(now);
    if (m_writer && m_writer->isOwner()) {
        processSubmissions();
        pumpWriter(now);
    }
    pumpReader(now);
    expire(now);
}

std::vector<StoreOperation> ConfigurationKeeper::takeOperations()
{
    return std::exchange(m_operations, {});
}

std::vector<TicketDecision> ConfigurationKeeper::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

std::vector<ConfigObject> ConfigurationKeeper::takeNews()
{
    return std::exchange(m_news, {});
}

const Configuration &ConfigurationKeeper::configuration() const
{
    return m_configuration;
}

bool ConfigurationKeeper::hasRead() const
{
    return m_hasRead;
}

} // namespace flamingo
