// Loaded into a process by LD_PRELOAD. Copies a file of the data folder at each successful sync of it, and takes over the folder's
// names at each successful sync of the folder. The copies are what a loss of power leaves of the data folder. A sync takes as long as
// on a disk, so that processes are also killed between a write and its sync.

#include "harness/syncrecorder.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <dlfcn.h>
#include <exception>
#include <filesystem>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

namespace
{
namespace fs = std::filesystem;

constexpr std::chrono::milliseconds SyncDuration{3};

template<typename Function>
Function *original(const char *name)
{
    return reinterpret_cast<Function *>(dlsym(RTLD_NEXT, name));
}

fs::path folderOf(const char *variable)
{
    const char *value = std::getenv(variable);
    return value ? fs::path(value) : fs::path();
}

fs::path dataFolder()
{
    static const fs::path folder = folderOf(flamingo::SyncRecorderDataVariable);
    return folder;
}

fs::path syncedFolder()
{
    static const fs::path folder = folderOf(flamingo::SyncRecorderSyncedVariable);
    return folder;
}

fs::path unnamedFolder()
{
    return syncedFolder() / flamingo::SyncRecorderUnnamedFolder;
}

/// The process may be killed at any byte, so a copy appears under its name when it is whole.
void copyWhole(const fs::path &from, const fs::path &to)
{
    const fs::path partial = unnamedFolder() / "partial-copy";
    fs::create_directories(unnamedFolder());
    fs::copy_file(from, partial, fs::copy_options::overwrite_existing);
    fs::rename(partial, to);
}

void recordFile(const fs::path &file)
{
    const fs::path name = file.filename();
    const bool isNameSynced = fs::exists(syncedFolder() / name);
    copyWhole(file, (isNameSynced ? syncedFolder() : unnamedFolder()) / name);
}

void recordNewName(const fs::path &name)
{
    const fs::path copy = unnamedFolder() / name;
    if (!fs::exists(copy)) {
        // Only the name is synced, not the content.
        fs::create_directories(unnamedFolder());
        std::fclose(std::fopen(copy.c_str(), "w"));
    }
    fs::rename(copy, syncedFolder() / name);
}

void recordNames()
{
    for (const auto &file : fs::directory_iterator(dataFolder())) {
        const fs::path name = file.path().filename();
        if (file.is_regular_file() && !fs::exists(syncedFolder() / name)) {
            recordNewName(name);
        }
    }
    std::vector<fs::path> removed;
    for (const auto &file : fs::directory_iterator(syncedFolder())) {
        if (file.is_regular_file() && !fs::exists(dataFolder() / file.path().filename())) {
            removed.push_back(file.path());
        }
    }
    for (const fs::path &file : removed) {
        fs::remove(file);
    }
}

void recordSync(int fd)
{
    const fs::path path = fs::read_symlink("/proc/self/fd/" + std::to_string(fd));
    if (path == dataFolder()) {
        recordNames();
    } else if (path.parent_path() == dataFolder() && fs::exists(path)) {
        recordFile(path);
    }
}

/// A file keeps its synced content under its new name, which counts once the folder is synced.
void recordRename(const fs::path &from, const fs::path &to)
{
    if (from.parent_path() != dataFolder() || to.parent_path() != dataFolder()) {
        return;
    }
    for (const fs::path &folder : {syncedFolder(), unnamedFolder()}) {
        if (fs::exists(folder / from.filename())) {
            copyWhole(folder / from.filename(), unnamedFolder() / to.filename());
            return;
        }
    }
}

/// A record with gaps would let a test pass or fail for no reason, so the process ends instead.
template<typename Record>
void recordOrAbort(const Record &record)
{
    try {
        record();
    } catch (const std::exception &e) {
        std::fprintf(stderr, "sync recorder: %s\n", e.what());
        std::abort();
    }
}

int syncAndRecord(const char *function, int fd)
{
    std::this_thread::sleep_for(SyncDuration);
    const int result = original<int(int)>(function)(fd);
    if (result == 0) {
        recordOrAbort([fd] { recordSync(fd); });
    }
    return result;
}
} // namespace

extern "C" int fsync(int fd)
{
    return syncAndRecord("fsync", fd);
}

extern "C" int fdatasync(int fd)
{
    return syncAndRecord("fdatasync", fd);
}

extern "C" int rename(const char *from, const char *to) noexcept
{
    const int result = original<int(const char *, const char *)>("rename")(from, to);
    if (result == 0) {
        recordOrAbort([&] { recordRename(from, to); });
    }
    return result;
}
