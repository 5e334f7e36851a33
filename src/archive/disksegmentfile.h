#pragma once

#include "archive/segmentfile.h"

namespace flamingo
{

/// A SegmentFile on the machine's disk.
class DiskSegmentFile : public SegmentFile
{
public:
    /// Takes over the open file descriptor.
    explicit DiskSegmentFile(int fd);
    ~DiskSegmentFile() override;
    DiskSegmentFile(const DiskSegmentFile &) = delete;
    DiskSegmentFile &operator=(const DiskSegmentFile &) = delete;

    bool append(std::string_view bytes) override;
    bool sync() override;

private:
    int m_fd;
};

} // namespace flamingo
