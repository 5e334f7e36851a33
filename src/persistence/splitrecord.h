#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// Divides a record into parts of at most the given size.
std::vector<std::string> splitRecord(const std::string &record, std::size_t maxPartBytes);

/// What stands under the turn's own key instead of a record that is stored in parts.
struct SplitRecordHead {
    std::size_t parts = 0;

    std::string encode() const;

    /// Returns nothing if the bytes are something else, for example a whole record.
    static std::optional<SplitRecordHead> decode(const std::string &bytes);
};

} // namespace flamingo
