#pragma once

#include "archive/segmentfile.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// The folder with the segments of a TurnLog.
class SegmentFolder
{
public:
    virtual ~SegmentFolder() = default;

    /// The names of all files, in no particular order.
    virtual std::vector<std::string> fileNames() const = 0;

    /// The contents of a file, or nothing when it can't be read.
    virtual std::optional<std::string> read(const std::string &name) const = 0;

    /// Opens a file for appending. Returns null when that fails. The file's name survives a loss of power after sync().
    virtual std::unique_ptr<SegmentFile> open(const std::string &name) = 0;
    virtual bool sync() = 0;
    virtual bool remove(const std::string &name) = 0;
    virtual bool rename(const std::string &from, const std::string &to) = 0;
};

} // namespace flamingo
