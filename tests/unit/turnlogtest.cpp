#include "archive/turnlog.h"
#include "unit/fakesegmentfolder.h"

#include <catch2/catch.hpp>

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
    for (const std::string &id : ids) {
        if (log.append(turnOf(id))) {
            appended.push_back(id);
        }
    }
    return log.sync() ? appended : Ids();
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
} // namespace

TEST_CASE("Turns that arrive together share one sync and survive a loss of power", "[archive]")
{
    FakeSegmentFolder folder;
    {
        TurnLog log(folder);
        CHECK(keep(log, {"a", "b"}) == Ids{"a", "b"});
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
            REQUIRE_FALSE(log.sync());
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
    for (const std::string &id : {"a", "b", "c"}) {
        log.remove(RequestId(id));
    }
    CHECK(folder.fileNames().size() == 1);
}
