#include "harness/recordeddisk.h"

#include "harness/syncrecorder.h"

#include <fstream>
#include <iterator>

namespace flamingo
{

namespace fs = std::filesystem;

RecordedDisk::RecordedDisk(fs::path data, fs::path synced)
    : m_data(std::move(data))
    , m_synced(std::move(synced))
{
    fs::create_directories(m_synced);
}

std::vector<std::string> RecordedDisk::variables() const
{
    return {std::string("LD_PRELOAD=") + SYNC_RECORDER,
            std::string(SyncRecorderDataVariable) + '=' + m_data.string(),
            std::string(SyncRecorderSyncedVariable) + '=' + m_synced.string()};
}

std::uintmax_t RecordedDisk::losePower(UnsyncedBytes unsynced, std::mt19937_64 &random) const
{
    std::uintmax_t unsyncedBytes = 0;
    for (const auto &file : fs::directory_iterator(m_synced)) {
        const std::string tail = file.is_regular_file() ? unsyncedTail(file.path()) : std::string();
        unsyncedBytes += tail.size();
        if (unsynced == UnsyncedBytes::Torn && !tail.empty()) {
            std::ofstream(file.path(), std::ios::binary | std::ios::app) << tail.substr(0, random() % (tail.size() + 1));
        }
    }
    fs::remove_all(m_data);
    fs::create_directories(m_data);
    for (const auto &file : fs::directory_iterator(m_synced)) {
        if (file.is_regular_file()) {
            fs::copy_file(file.path(), m_data / file.path().filename());
        }
    }
    fs::remove_all(m_synced / SyncRecorderUnnamedFolder);
    return unsyncedBytes;
}

std::string RecordedDisk::unsyncedTail(const fs::path &synced) const
{
    std::ifstream written(m_data / synced.filename(), std::ios::binary);
    if (!written) {
        return {};
    }
    written.seekg(static_cast<std::streamoff>(fs::file_size(synced)));
    return {std::istreambuf_iterator<char>(written), std::istreambuf_iterator<char>()};
}

void RecordedDisk::wipe() const
{
    fs::remove_all(m_data);
    fs::remove_all(m_synced);
    fs::create_directories(m_synced);
}

} // namespace flamingo
