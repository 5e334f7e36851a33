#include "archive/disksegmentfolder.h"

#include "archive/disksegmentfile.h"
#include "core/log.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

namespace flamingo
{

namespace
{
constexpr std::size_t ReadBytes = std::size_t(256) * 1024;

std::optional<std::string> readToEnd(int fd)
{
    std::string bytes;
    for (;;) {
        const std::size_t offset = bytes.size();
        bytes.resize(offset + ReadBytes);
        const ssize_t n = ::read(fd, bytes.data() + offset, ReadBytes);
        if (n < 0 && errno != EINTR) {
            return std::nullopt;
        }
        bytes.resize(offset + static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
        if (n == 0) {
            return bytes;
        }
    }
}

bool syncFolder(const std::filesystem::path &path)
{
    const int fd = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    const bool isSynced = fd >= 0 && ::fsync(fd) == 0;
    if (!isSynced) {
        logChange("folder-sync-failed", "folder={} reason=\"{}\"", path.string(), std::strerror(errno));
    }
    if (fd >= 0) {
        ::close(fd);
    }
    return isSynced;
}

/// Creates a folder and those above it that aren't there, and syncs their names.
void createFolder(const std::filesystem::path &path)
{
    const std::filesystem::path parent = path.has_parent_path() ? path.parent_path() : std::filesystem::path(".");
    if (!std::filesystem::exists(parent)) {
        createFolder(parent);
    }
    const bool isCreated = std::filesystem::create_directory(path);
    // The name is synced again when the folder is there: an earlier process may have been ended before it had done so.
    if (!syncFolder(parent) && isCreated) {
        std::filesystem::remove(path);
        throw std::filesystem::filesystem_error("can't sync the folder's name", path, std::make_error_code(std::errc::io_error));
    }
}
} // namespace

DiskSegmentFolder::DiskSegmentFolder(std::filesystem::path path)
    : m_path(std::move(path))
{
    createFolder(m_path);
}

std::vector<std::string> DiskSegmentFolder::fileNames() const
{
    std::vector<std::string> names;
    for (const auto &file : std::filesystem::directory_iterator(m_path)) {
        names.push_back(file.path().filename().string());
    }
    return names;
}

std::optional<std::string> DiskSegmentFolder::read(const std::string &name) const
{
    const int fd = ::open((m_path / name).c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
        logChange("segment-read-failed", "segment={} reason=\"{}\"", name, std::strerror(errno));
        return std::nullopt;
    }
    auto bytes = readToEnd(fd);
    if (!bytes) {
        logChange("segment-read-failed", "segment={} reason=\"{}\"", name, std::strerror(errno));
    }
    ::close(fd);
    return bytes;
}

std::unique_ptr<SegmentFile> DiskSegmentFolder::open(const std::string &name)
{
    const int fd = ::open((m_path / name).c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
    if (fd < 0) {
        logChange("segment-open-failed", "segment={} reason=\"{}\"", name, std::strerror(errno));
        return nullptr;
    }
    return std::make_unique<DiskSegmentFile>(fd);
}

bool DiskSegmentFolder::sync()
{
    return syncFolder(m_path);
}

bool DiskSegmentFolder::remove(const std::string &name)
{
    std::error_code ec;
    std::filesystem::remove(m_path / name, ec);
    if (ec) {
        logChange("segment-remove-failed", "segment={} reason=\"{}\"", name, ec.message());
    }
    return !ec;
}

bool DiskSegmentFolder::rename(const std::string &from, const std::string &to)
{
    std::error_code ec;
    std::filesystem::rename(m_path / from, m_path / to, ec);
    if (ec) {
        logChange("segment-remove-failed", "segment={} reason=\"{}\"", from, ec.message());
    }
    return !ec;
}

} // namespace flamingo
