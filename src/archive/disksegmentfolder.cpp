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
} // namespace

DiskSegmentFolder::DiskSegmentFolder(std::filesystem::path path)
    : m_path(std::move(path))
{
    std::filesystem::create_directories(m_path);
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
    const int folder = ::open(m_path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0) {
        return false;
    }
    const bool isSynced = ::fsync(folder) == 0;
    if (!isSynced) {
        logChange("folder-sync-failed", "reason=\"{}\"", std::strerror(errno));
    }
    ::close(folder);
    return isSynced;
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
