#pragma once

#include <string_view>

namespace flamingo
{

/// A file that is only appended to. What has been appended survives a loss of power once sync() has returned true.
class SegmentFile
{
public:
    virtual ~SegmentFile() = default;

    /// Returns false when not all bytes could be written; the file may then end with a part of them.
    virtual bool append(std::string_view bytes) = 0;

    /// After a sync that has failed the system may count pages as written that aren't, so that the next sync succeeds without them.
    virtual bool sync() = 0;
};

} // namespace flamingo
