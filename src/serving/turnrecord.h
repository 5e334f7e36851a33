#pragma once

#include "serving/requestmetadata.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// A turn whose response was completed, as it is stored. Turns are immutable.
struct TurnRecord {
    RequestId id;
    std::vector<RequestId> ancestors; ///< The turns that it continues from, the oldest first.
    std::string input; ///< What the caller sent.
    std::string output; ///< The data of the response's events, a line feed after each.
    Milliseconds retention{0};

    std::string encode() const;
    static std::optional<TurnRecord> decode(const RequestId &id, const std::string &bytes);
};

using TurnRecordPtr = std::shared_ptr<const TurnRecord>;

} // namespace flamingo
