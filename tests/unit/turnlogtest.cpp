#include "archive/turnlog.h"
#include "archive/disksegmentfolder.h"
#include "unit/fakesegmentfolder.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <filesystem>
#include <iterator>
#include <memory>
#include <random>
#include <set>
#include <unistd.h>

using namespace flamingo;

namespace
{
using Ids = std::vector<std::string>;

ArchiveKeepRequest turnOf(const std::string &id)
{
    return ArchiveKeepRequest{RequestId(id), "record of " + id, true, {}};
}

/// Keeps turns that arrive together, as the daemon does, and returns those that are confirmed.
Ids keep(TurnLog &log, const Ids &ids)
{
    Ids appended;
    std::copy_if(ids.begin(), ids.end(), std::back_inserter(appended), [&log](const std::string &id) { return log.append(turnOf(id)); });
    log.sync();
    Ids confirmed;
    std::copy_if(appended.begin(), appended.end(), std::back_inserter(confirmed), [&log](const std::string &id) { return log.isSynced(RequestId(id)); });
    return confirmed;
}

Ids found(const TurnLog &log, const Ids &ids)
{
    Ids result;
    for (const std::string &id : ids) {
        if (log.find(RequestId(id))) {
            result.push_back(id);
        }
    }
    return result;
}

/// The turns that are there after a loss of power.
Ids foundAfterPowerLoss(FakeSegmentFolder &folder, const Ids &ids)
{
    folder.losePower();
    return found(TurnLog(folder), ids);
}

/// A turn that fills a segment.
ArchiveKeepRequest longTurn()
{
    constexpr std::size_t MoreThanASegment = std::size_t(2) * 1024 * 1024;
    return ArchiveKeepRequest{RequestId("long"), std::string(MoreThanASegment, 'x'), true, {}};
}

/// Keeps and removes turns while the disk fails, the process is restarted and the power is lost, all drawn from a generator.
class RandomDiskPlay
{
public:
    explicit RandomDiskPlay(std::mt19937 &random)
        : m_random(random)
    {
        restart();
    }

    void step()
    {
        constexpr unsigned KindsOfSteps = 12;
        switch (m_random() % KindsOfSteps) {
        case 0:
            restart();
            break;
        case 1:
            m_log.reset();
            m_folder.losePower(m_random);
            m_folder.faults().reads = 0;
            restart();
            noteLostTurns();
            break;
        case 2:
            remove(drawId());
            break;
        case 3:
            ++drawFault();
            break;
        default:
            keepTogether();
        }
    }

    const Ids &lostTurns() const
    {
        return m_lost;
    }

private:
    std::string drawId()
    {
        constexpr unsigned NumberOfIds = 12;
        return "turn-" + std::to_string(m_random() % NumberOfIds);
    }

    int &drawFault()
    {
        SegmentFolderFaults &faults = m_folder.faults();
        const std::array<int *, 5> kinds{&faults.opens, &faults.reads, &faults.appends, &faults.fileSyncs, &faults.folderSyncs};
        return *kinds.at(m_random() % kinds.size());
    }

    void restart()
    {
        m_log.reset();
        m_log = std::make_unique<TurnLog>(m_folder);
    }

    void remove(const std::string &id)
    {
        m_log->remove(RequestId(id));
        m_confirmed.erase(id);
    }

    void keepTogether()
    {
        constexpr unsigned MostTurnsTogether = 4;
        Ids ids;
        for (unsigned n = m_random() % MostTurnsTogether; n > 0; --n) {
            ids.push_back(drawId());
        }
        for (const std::string &id : keep(*m_log, ids)) {
            m_confirmed.insert(id);
        }
    }

    void noteLostTurns()
    {
        for (const std::string &id : m_confirmed) {
            if (!m_log->find(RequestId(id))) {
                m_lost.push_back(id);
            }
        }
    }

    std::mt19937 &m_random;
    FakeSegmentFolder m_folder;
    std::unique_ptr<TurnLog> m_log;
    std::set<std::string> m_confirmed;
    Ids m_lost;
};
} // namespace

TEST_CASE("Turns that arrive together share one sync and survive a loss of power", "[archive]")
{
    FakeSegmentFolder folder;
    {
        TurnLog log(folder);
        CHECK(keep(log, {"a", "b"}) == Ids{"a", "b"});
        CHECK(folder.fileSyncCount() == 1);
        CHECK(keep(log, {"b", "a"}) == Ids{"b", "a"});
        CHECK(folder.fileSyncCount() == 1);
        REQUIRE(log.append(turnOf("c")));
    }
    CHECK(foundAfterPowerLoss(folder, {"a", "b", "c"}) == Ids{"a", "b"});
}

// Guards against turns that are confirmed in a segment whose name isn't on the disk.
TEST_CASE("A turn in a segment whose name couldn't be synced is not confirmed", "[archive]")
{
    FakeSegmentFolder folder;
    Ids confirmed;
    SECTION("At the start")
    {
        folder.faults().folderSyncs = 1;
        TurnLog log(folder);
        confirmed = keep(log, {"a"});
    }
    SECTION("Later")
    {
        TurnLog log(folder);
        folder.faults().appends = 1;
        folder.faults().folderSyncs = 1;
        CHECK(keep(log, {"a"}).empty());
        CHECK(keep(log, {"a"}).empty());
        confirmed = keep(log, {"a"});
    }
    CHECK(confirmed == Ids{"a"});
    CHECK(foundAfterPowerLoss(folder, {"a"}) == confirmed);
}

// Guards against turns that are confirmed because a killed process has left them in the system's memory.
TEST_CASE("A turn that wasn't synced before a restart is not confirmed without a sync", "[archive]")
{
    FakeSegmentFolder folder;
    folder.faults().fileSyncs = GENERATE(0, 1);
    {
        TurnLog log(folder);
        REQUIRE(log.append(turnOf("a")));
        REQUIRE(log.append(turnOf("b")));
        if (folder.faults().fileSyncs > 0) {
            log.sync();
            REQUIRE_FALSE(log.isSynced(RequestId("a")));
        }
    }
    {
        TurnLog log(folder);
        CHECK(found(log, {"a", "b"}) == Ids{"a", "b"});
        CHECK(keep(log, {"a"}) == Ids{"a"});
    }
    CHECK(foundAfterPowerLoss(folder, {"a"}) == Ids{"a"});
}

// Guards against segments that stay on the disk because a turn in them was written a second time.
TEST_CASE("A turn that was written to two segments is removed from both", "[archive]")
{
    FakeSegmentFolder folder;
    {
        TurnLog log(folder);
        keep(log, {"a", "b"});
    }
    {
        TurnLog log(folder);
        keep(log, {"a", "c"});
        const bool isReadAgain = GENERATE(false, true);
        if (!isReadAgain) {
            log.remove(RequestId("a"));
            log.remove(RequestId("b"));
            CHECK(folder.fileNames().size() == 1);
            return;
        }
    }
    TurnLog log(folder);
    CHECK(log.size() == 3);
    for (const char *id : {"a", "b", "c"}) {
        log.remove(RequestId(id));
    }
    CHECK(folder.fileNames().size() == 1);
}

// Guards against turns that are confirmed after a sync that has failed, when the next one succeeds without the lost bytes.
TEST_CASE("A turn whose sync has failed is written anew before it is confirmed", "[archive]")
{
    FakeSegmentFolder folder;
    Ids confirmed;
    {
        TurnLog log(folder);
        CHECK(keep(log, {"a"}) == Ids{"a"});
        folder.faults().fileSyncs = 1;
        CHECK(keep(log, {"b", "c"}).empty());
        CHECK(found(log, {"a", "b", "c"}) == Ids{"a", "b", "c"});
        confirmed = keep(log, {"b", "a", "d"});
        CHECK(confirmed == Ids{"b", "a", "d"});
    }
    CHECK(foundAfterPowerLoss(folder, {"a", "b", "d"}) == Ids{"a", "b", "d"});
}

// Guards against a turn that is confirmed by the sync of the segment after its own.
TEST_CASE("A turn that arrives together with one that can't be written is not confirmed without its sync", "[archive]")
{
    FakeSegmentFolder folder;
    const bool isSyncFailing = GENERATE(false, true);
    Ids confirmed;
    {
        TurnLog log(folder);
        REQUIRE(log.append(turnOf("a")));
        folder.faults().appends = 1;
        folder.faults().fileSyncs = isSyncFailing ? 1 : 0;
        REQUIRE_FALSE(log.append(turnOf("b")));
        CHECK(keep(log, {"c"}) == Ids{"c"});
        CHECK(log.isSynced(RequestId("a")) != isSyncFailing);
        confirmed = keep(log, {"a", "c"});
        CHECK(confirmed == Ids{"a", "c"});
    }
    CHECK(foundAfterPowerLoss(folder, confirmed) == confirmed);
}

// Guards against a turn that is confirmed by a second sync of a full segment, after one that has failed.
TEST_CASE("A turn in a full segment that couldn't be synced is not confirmed", "[archive]")
{
    FakeSegmentFolder folder;
    Ids confirmed;
    {
        TurnLog log(folder);
        REQUIRE(log.append(longTurn()));
        folder.faults().fileSyncs = 1;
        confirmed = keep(log, {"a"});
        CHECK(confirmed == Ids{"a"});
        CHECK_FALSE(log.isSynced(longTurn().id));
        REQUIRE(log.append(longTurn()));
        log.sync();
        REQUIRE(log.isSynced(longTurn().id));
        confirmed.push_back(longTurn().id.value());
    }
    CHECK(foundAfterPowerLoss(folder, confirmed) == confirmed);
}

// Guards against any other order of faults, restarts and losses of power that takes a confirmed turn.
TEST_CASE("Confirmed turns survive random faults of the disk", "[archive]")
{
    constexpr int Seeds = 300;
    constexpr int Steps = 60;
    for (int seed = 0; seed < Seeds; ++seed) {
        std::mt19937 random(static_cast<unsigned>(seed));
        RandomDiskPlay play(random);
        for (int step = 0; step < Steps; ++step) {
            play.step();
        }
        INFO("seed " << seed);
        REQUIRE(play.lostTurns() == Ids());
    }
}

// Guards against confirmed turns that are deleted because their segment couldn't be read for once.
TEST_CASE("A segment that can't be read at a start is kept for the next one", "[archive]")
{
    FakeSegmentFolder folder;
    {
        TurnLog log(folder);
        CHECK(keep(log, {"a"}) == Ids{"a"});
    }
    {
        folder.faults().reads = 1;
        TurnLog log(folder);
        CHECK(found(log, {"a"}).empty());
        CHECK(log.unreadableRecords() == 1);
        CHECK(keep(log, {"b"}) == Ids{"b"});
    }
    CHECK(foundAfterPowerLoss(folder, {"a", "b"}) == Ids{"a", "b"});
}

// Guards against a file that can't be read and is taken for an empty one.
TEST_CASE("A file of the disk that can't be read is told from an empty one", "[archive]")
{
    const auto path = std::filesystem::temp_directory_path() / ("flamingo-segments-" + std::to_string(::getpid()));
    DiskSegmentFolder folder(path);
    std::filesystem::create_directory(path / "turns-1");
    REQUIRE(folder.open("turns-2"));
    CHECK(folder.read("turns-1") == std::nullopt);
    CHECK(folder.read("turns-2") == std::string());
    CHECK(folder.read("turns-3") == std::nullopt);
    REQUIRE(folder.open("turns-2")->append("some bytes"));
    CHECK(folder.read("turns-2") == "some bytes");
    std::filesystem::remove_all(path);
}

// Guards against a record that is set aside for inspection and overwritten by a later one.
TEST_CASE("A segment that is set aside doesn't replace an earlier one", "[archive]")
{
    FakeSegmentFolder folder;
    for (int n = 0; n < 2; ++n) {
        {
            TurnLog log(folder);
            CHECK(keep(log, {"a"}) == Ids{"a"});
        }
        folder.flipLastBytes();
        CHECK(TurnLog(folder).unreadableRecords() == 1);
    }
    Ids names = folder.fileNames();
    names.erase(std::remove_if(names.begin(), names.end(), [](const std::string &name) { return name.rfind("unreadable-", 0) != 0; }), names.end());
    CHECK(names.size() == 2);
}
