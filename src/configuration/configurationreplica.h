#pragma once

#include "configuration/configuration.h"
#include "journal/shardjournal.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace flamingo
{

/// Ties a decision to the ticket that was submitted.
using SubmissionId = std::uint64_t;

struct TicketDecision {
    SubmissionId id = 0;
    Result<void> result;
};

/// The configuration of one control process and the way tickets get into it. Accepted tickets stand in a journal in the
/// platform's store, of the same kind as a shard's: a control that has a ticket takes the journal over, so that it has
/// read every ticket before its own, checks, and appends. Operators who race each other are thereby put in a row.
///
/// The class does no I/O: it hands out store operations and is given their replies.
class ConfigurationReplica
{
public:
    ConfigurationReplica(const InstanceId &self, const std::string &incarnation, const JournalSettings &settings);

    /// The prefix of the keys that a watch has to cover.
    static std::string watchPrefix();

    /// Reads the whole configuration from the store. Reading again while a read is under way does nothing.
    void readAll(Instant now);

    /// A watch has seen these keys of the journal written.
    void onKeysWritten(const std::vector<StoreValue> &values);

    /// Takes in accepted objects from a peer.
    void mergeObjects(const std::vector<ConfigObject> &objects);

    /// Asks for a ticket to be accepted. The decision comes by takeDecisions().
    SubmissionId submit(Ticket ticket, Instant now);

    void onReply(const StoreReply &reply, Instant now);

    /// To be called every few milliseconds.
    void advance(Instant now);

    std::vector<StoreOperation> takeOperations();
    std::vector<TicketDecision> takeDecisions();

    /// Objects that have come into force here since the last time this was asked.
    std::vector<ConfigObject> takeChangedObjects();

    const Configuration &configuration() const;

    /// Whether the store's configuration has been read whole since the start.
    bool hasReadAll() const;

private:
    struct Submission {
        SubmissionId id = 0;
        Ticket ticket;
        Instant deadline;
        RecordIndex recordIndex = 0; ///< 0 until it has been appended.
        bool wasAppended = false;
    };
    enum class JournalRole { Writer, Reader };
    struct PendingOperation {
        JournalRole role;
        std::uint64_t id;
    };

    void openWriter(Instant now);
    void processSubmissions();
    void finishSubmission(SubmissionId id, Result<void> result);
    void advanceWriter(Instant now);
    void advanceReader(Instant now);
    void collectOperations(ShardJournal &journal, JournalRole role);
    void mergeJournal(const JournalOpened &opened);
    void mergeObject(const ConfigObject &object);
    void mergeEntry(const std::string &bytes);
    void mergeRecord(const nlohmann::json &record);
    void expireSubmissions(Instant now);

    const InstanceId m_self;
    const std::string m_incarnation;
    const JournalSettings m_settings;
    Configuration m_configuration;
    std::unique_ptr<ShardJournal> m_writer;
    std::unique_ptr<ShardJournal> m_reader;
    unsigned m_writerCount = 0;
    std::deque<Submission> m_submissions;
    SubmissionId m_lastSubmission = 0;
    std::uint64_t m_lastOperation = 0;
    std::map<std::uint64_t, PendingOperation> m_pendingOperations;
    std::vector<StoreOperation> m_operations;
    std::vector<TicketDecision> m_decisions;
    std::vector<ConfigObject> m_changedObjects;
    std::map<std::string, std::string> m_deferredValues; ///< Written keys that a watch reported before the whole has been read.
    bool m_hasReadAll = false;
};

} // namespace flamingo
