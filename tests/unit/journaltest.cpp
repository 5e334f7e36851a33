#include "journal/shardjournal.h"
#include "unit/fakestore.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <map>
#include <memory>
#include <set>

using namespace flamingo;

namespace
{
JournalSettings fastSettings()
{
    JournalSettings settings;
    settings.ringSize = 32;
    settings.appendsPerSecond = 1000;
    settings.appendBurst = 1000;
    settings.retryDelay = Milliseconds(10);
    return settings;
}

/// A process with a journal. Tracks which records were reported as committed and the state built from all records.
struct Writer {
    Writer(const std::string &name, int incarnation)
        : journal("shard/0", InstanceId(name), std::to_string(incarnation), fastSettings())
    {
    }

    void takeEvents()
    {
        for (const JournalEvent &event : journal.takeEvents()) {
            if (const auto *opened = std::get_if<JournalOpened>(&event)) {
                isOpen = true;
                for (const std::string &chunk : opened->snapshotChunks) {
                    const auto items = fromCbor(chunk);
                    for (const auto &item : *items) {
                        state.push_back(item.get<std::string>());
                    }
                }
                for (const auto &record : opened->records) {
                    state.push_back(record.get<std::string>());
                }
            } else if (const auto *committed = std::get_if<RecordsCommitted>(&event)) {
                committedUpTo = committed->upTo;
            } else if (std::holds_alternative<OwnershipLost>(event)) {
                isLost = true;
            }
        }
    }

    ShardJournal journal;
    bool isOpen = false;
    bool isLost = false;
    RecordIndex committedUpTo = 0;
    std::vector<std::string> state; ///< State that this process has restored from the journal and extended.
    std::vector<std::string> appended;
};

/// Runs a writer against the store for 2000 steps of 3 ms. This is enough for it to become idle, and longer than the 5 s between
/// the ownership checks of an owner without appends.
void runJournal(Writer &writer, FakeStore &store, Instant &now)
{
    for (int n = 0; n < 2000; ++n) {
        writer.journal.advance(now);
        for (const auto &operation : writer.journal.takeOperations()) {
            store.submit(operation);
        }
        for (const StoreReply &reply : store.performNext()) {
            writer.journal.onReply(reply, now);
        }
        writer.takeEvents();
        now += Milliseconds(3);
    }
}

std::string encodeState(const Writer &writer)
{
    return toCbor(nlohmann::json(writer.state));
}
} // namespace

TEST_CASE("A new owner reads all records that its predecessor appended to an empty journal")
{
    FakeStore store(1);
    Instant now{};
    Writer first("a", 1);
    first.journal.open(now);
    runJournal(first, store, now);
    REQUIRE(first.isOpen);
    REQUIRE(first.journal.fence() == FencingNumber(1));
    for (int n = 0; n < 10; ++n) {
        first.journal.append(fmt::format("r{}", n));
        runJournal(first, store, now);
    }
    REQUIRE(first.committedUpTo == 10);

    Writer second("b", 1);
    second.journal.open(now);
    runJournal(second, store, now);
    REQUIRE(second.journal.fence() == FencingNumber(2));
    REQUIRE(second.state.size() == 10);
    REQUIRE(second.state.back() == "r9");
}

TEST_CASE("A deposed owner's append fails, and the owner learns that it has lost the shard")
{
    FakeStore store(1);
    Instant now{};
    Writer first("a", 1);
    first.journal.open(now);
    runJournal(first, store, now);
    Writer second("b", 1);
    second.journal.open(now);
    runJournal(second, store, now);
    first.journal.append("late");
    runJournal(first, store, now);
    REQUIRE(first.isLost);
    REQUIRE(first.committedUpTo == 0);
    REQUIRE_FALSE(first.journal.isOwner());
}

TEST_CASE("A write without an answer is resolved by reading the slot back")
{
    StoreFaults faults;
    faults.replyLossRate = 1;
    FakeStore store(7, faults);
    Instant now{};
    Writer writer("a", 1);
    writer.journal.open(now);
    runJournal(writer, store, now);
    REQUIRE(writer.isOpen);
    writer.journal.append("x");
    runJournal(writer, store, now);
    REQUIRE(writer.committedUpTo == 1);
    REQUIRE_FALSE(writer.isLost);
}

TEST_CASE("No record is lost when the ring wraps around after snapshots")
{
    FakeStore store(3);
    Instant now{};
    Writer writer("a", 1);
    writer.journal.open(now);
    runJournal(writer, store, now);
    for (int n = 0; n < 200; ++n) {
        const std::string record = fmt::format("r{}", n);
        writer.journal.append(record);
        writer.state.push_back(record);
        if (writer.journal.needsSnapshot()) {
            writer.journal.startSnapshot({encodeState(writer)});
        }
        for (int k = 0; k < 6; ++k) {
            writer.journal.advance(now);
            for (const auto &operation : writer.journal.takeOperations()) {
                store.submit(operation);
            }
            for (const StoreReply &reply : store.performNext()) {
                writer.journal.onReply(reply, now);
            }
            now += Milliseconds(3);
        }
    }
    runJournal(writer, store, now);
    writer.takeEvents();
    REQUIRE(writer.committedUpTo == 200);
    Writer second("b", 1);
    second.journal.open(now);
    runJournal(second, store, now);
    REQUIRE(second.state.size() == 200);
    REQUIRE(second.state.front() == "r0");
    REQUIRE(second.state.back() == "r199");
    // Old snapshots are deleted: only the ring and the newest snapshot remain.
    REQUIRE(store.state().keys("shard/0/snapshot/").size() == 1);
}

TEST_CASE("Repeated takeovers never fill the ring")
{
    FakeStore store(3);
    Instant now{};
    for (int n = 0; n < 60; ++n) {
        Writer writer("w" + std::to_string(n), 1);
        writer.journal.open(now);
        runJournal(writer, store, now);
        REQUIRE(writer.isOpen);
        if (writer.journal.needsSnapshot()) {
            writer.journal.startSnapshot({encodeState(writer)});
        }
        runJournal(writer, store, now);
    }
}

TEST_CASE("A released shard is no longer owned, and the next owner reads its records")
{
    FakeStore store(1);
    Instant now{};
    Writer first("a", 1);
    first.journal.open(now);
    runJournal(first, store, now);
    first.journal.append("x");
    first.journal.release();
    runJournal(first, store, now);
    REQUIRE(first.committedUpTo == 1);
    REQUIRE_FALSE(first.journal.isOwner());
    Writer second("b", 1);
    second.journal.open(now);
    runJournal(second, store, now);
    REQUIRE(second.state == std::vector<std::string>{"x"});
}

// Writers take over from each other at random times and pause at random, while store operations are lost, delayed or get no
// answer. Guards against lost or duplicated records: each record that was reported as committed must be in the last owner's
// state exactly once, and fencing numbers must grow with each takeover.
TEST_CASE("Competing writers under faults neither lose nor duplicate a committed record", "[promises]")
{
    const auto seed = GENERATE(range(1, 41));
    StoreFaults faults;
    faults.requestLossRate = 0.05;
    faults.replyLossRate = 0.1;
    faults.delayRate = 0.1;
    FakeStore store(static_cast<std::uint64_t>(seed), faults);
    std::mt19937 random(static_cast<unsigned>(seed));
    Instant now{};
    std::vector<std::unique_ptr<Writer>> writers;
    std::map<std::string, int> reportedCommitted; // Records that were reported to a writer as committed.
    int lastRecord = 0;
    FencingNumber highestFence;
    std::map<std::uint64_t, std::pair<Writer *, std::uint64_t>> operations;
    std::uint64_t lastOperation = 0;
    for (int step = 0; step < 6000; ++step) {
        now += Milliseconds(2);
        if (writers.size() < 12 && random() % 400 == 0) {
            writers.push_back(std::make_unique<Writer>("w" + std::to_string(writers.size()), step));
            writers.back()->journal.open(now);
        }
        for (auto &writer : writers) {
            const bool isFrozen = random() % 10 == 0;
            if (isFrozen) {
                continue;
            }
            writer->journal.advance(now);
            if (writer->isOpen && !writer->isLost && writer->journal.isOwner() && random() % 8 == 0) {
                const std::string record = std::to_string(++lastRecord);
                writer->journal.append(record);
                writer->appended.push_back(record);
                writer->state.push_back(record);
                if (writer->journal.needsSnapshot()) {
                    writer->journal.startSnapshot({encodeState(*writer)});
                }
            }
            for (auto operation : writer->journal.takeOperations()) {
                operations[++lastOperation] = {writer.get(), operation.id};
                operation.id = lastOperation;
                store.submit(operation);
            }
        }
        for (StoreReply reply : store.performNext()) {
            const auto [writer, id] = operations.at(reply.id);
            reply.id = id;
            writer->journal.onReply(reply, now);
            const RecordIndex before = writer->committedUpTo;
            const bool wasOpen = writer->isOpen;
            writer->takeEvents();
            for (RecordIndex n = before; n < writer->committedUpTo; ++n) {
                reportedCommitted[writer->appended[n]] += 1;
            }
            if (!wasOpen && writer->isOpen) {
                REQUIRE(writer->journal.fence() > highestFence);
                highestFence = writer->journal.fence();
            }
        }
    }
    StoreState state = store.state();
    FakeStore reliableStore(1);
    reliableStore.state() = state;
    Writer finalWriter("last", 1);
    finalWriter.journal.open(now);
    runJournal(finalWriter, reliableStore, now);
    REQUIRE(finalWriter.isOpen);
    std::map<std::string, int> timesFound;
    for (const std::string &record : finalWriter.state) {
        timesFound[record] += 1;
        REQUIRE(timesFound[record] == 1);
    }
    REQUIRE(reportedCommitted.size() > 20);
    for (const auto &[record, count] : reportedCommitted) {
        INFO("record " << record);
        REQUIRE(timesFound[record] == 1);
    }
}

TEST_CASE("An owner without appends learns that it was deposed", "[promises]")
{
    FakeStore store(1);
    Instant now{};
    Writer first("a", 1);
    first.journal.open(now);
    runJournal(first, store, now);
    Writer second("b", 1);
    second.journal.open(now);
    runJournal(second, store, now);
    runJournal(first, store, now);
    REQUIRE(first.isLost);
    REQUIRE_FALSE(second.isLost);
}
