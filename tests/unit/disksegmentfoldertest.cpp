#include "archive/disksegmentfolder.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <set>
#include <sys/syscall.h>
#include <unistd.h>

namespace
{
std::set<std::filesystem::path> syncedPaths;
}

/// Notes what is synced. It takes the place of the C library's function in this program.
extern "C" int fsync(int fd)
{
    std::error_code ec;
    const auto path = std::filesystem::read_symlink("/proc/self/fd/" + std::to_string(fd), ec);
    syncedPaths.insert(path);
    return static_cast<int>(::syscall(SYS_fsync, fd));
}

using namespace flamingo;

// Guards against an archive whose whole data folder is gone after a loss of power, since its name was never synced.
TEST_CASE("The names of the data folder and of those created above it are synced", "[archive]")
{
    const auto top = std::filesystem::canonical(std::filesystem::temp_directory_path()) / ("flamingo-data-" + std::to_string(::getpid()));
    std::filesystem::remove_all(top);
    syncedPaths.clear();
    const auto folder = top / "archive" / "turns";
    DiskSegmentFolder created(folder);
    CHECK(syncedPaths.count(top.parent_path()) == 1);
    CHECK(syncedPaths.count(top) == 1);
    CHECK(syncedPaths.count(top / "archive") == 1);

    // An earlier process may have been ended before it had synced the name.
    syncedPaths.clear();
    DiskSegmentFolder foundAgain(folder);
    CHECK(syncedPaths.count(top / "archive") == 1);
    std::filesystem::remove_all(top);
}
