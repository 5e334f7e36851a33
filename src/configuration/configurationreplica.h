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

/// Identifies a submitted ticket; its decision carries the same id.
using SubmissionId = std::uint64_t;

/// The result of a submitted ticket.
struct TicketDecision {
    SubmissionId id = 0;
    Result<void> result;
};

/// The replica of the configuration in one control process, which also accepts new tickets. Accepted tickets are stored
/// in a journal in the platform's store, of the same kind as a shard's journal. To accept a ticket, the process takes
/// over the ownership of the journal, which makes it read all earlier tickets, validates the ticket and appends it.
/// Tickets that several operators submit at the same time are thereby serialized.
///
/// The class does no I/O: it returns store operations and is passed their replies.
class ConfigurationReplica
{
public:
    /// The incarnation distinguishes this process from earlier ones of the same instance.
    ConfigurationReplica(const InstanceId &self, const std::string &incarnation, const JournalSettings &settings);

    /// The prefix of the store's keys that a watch has to cover.
    static std::string watchPrefix();

    /// Starts to read the whole configuration from the store. Has no effect while a read is in progress.
    void readAll(Instant now);

    /// Handles keys of the journal that a watch has reported as written.
    void onKeysWritten(const std::vector<StoreValue> &values);

    /// Merges accepted objects that a peer has sent.
    void mergeObjects(const std::vector<ConfigObject> &objects);

    /// Submits a ticket for acceptance. takeDecisions() returns the decision, which is an error when the store doesn't
    /// answer in time.
    SubmissionId submit(Ticket ticket, Instant now);

    void onReply(const StoreReply &reply, Instant now);

    /// Must be called every few milliseconds.
    void advance(Instant now);

    std::vector<StoreOperation> takeOperations();
    std::vector<TicketDecision> takeDecisions();

    /// Returns the objects that have changed in this replica since the last call.
    std::vector<ConfigObject> takeChangedObjects();

    const Configuration &configuration() const;

    /// Whether the whole configuration has been read from the store since the process started.
    bool hasReadAll() const;

private:
    struct Submission {
        SubmissionId id = 0;
        Ticket ticket;
        Instant deadline;
        RecordIndex recordIndex = 0; ///< 0 until the current writer has appended it.
        bool wasAppended = false; ///< By any writer, so that the ticket may be in the store.
    };
    /// Which of the two journal objects a store operation belongs to.
    enum class JournalRole { Writer, Reader };
    struct PendingOperation {
        JournalRole role;
        std::uint64_t id; ///< As the journal object numbered the operation.
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
    std::map<std::string, std::string> m_deferredValues; ///< Values by key that a watch reported before the whole configuration was read.
    bool m_hasReadAll = false;
};

} // namespace flamingo
