#pragma once

#include "archive/segmentfolder.h"

#include <filesystem>

namespace flamingo
{

/// A SegmentFolder on the machine's disk.
class DiskSegmentFolder : public SegmentFolder
{
public:
    /// Creates the folder if it isn't there. Throws std::exception when it can't be used.
    explicit DiskSegmentFolder(std::filesystem::path path);

    std::vector<std::string> fileNames() const override;
    std::optional<std::string> read(const std::string &name) const override;
    std::unique_ptr<SegmentFile> open(const std::string &name) override;
    bool sync() override;
    bool remove(const std::string &name) override;
    bool rename(const std::string &from, const std::string &to) override;

private:
    std::filesystem::path m_path;
};

} // namespace flamingo
