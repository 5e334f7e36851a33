#include "archive/disksegmentfile.h"

#include "core/log.h"

#include <cerrno>
#include <cstring>
#include <unistd.h>

namespace flamingo
{

DiskSegmentFile::DiskSegmentFile(int fd)
    : m_fd(fd)
{
}

DiskSegmentFile::~DiskSegmentFile()
{
    ::close(m_fd);
}

bool DiskSegmentFile::append(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t n = ::write(m_fd, bytes.data(), bytes.size());
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            logChange("disk-write-failed", "reason=\"{}\"", std::strerror(errno));
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

bool DiskSegmentFile::sync()
{
    if (::fdatasync(m_fd) != 0) {
        logChange("disk-sync-failed", "reason=\"{}\"", std::strerror(errno));
        return false;
    }
    return true;
}

} // namespace flamingo
