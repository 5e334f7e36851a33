#pragma once

#include "serving/streamorigins.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace flamingo
{

/// Tells another instance where a stream begins, so that it can be resumed when the sender is gone.
struct OriginNote {
    RequestId attempt;
    StreamOrigin origin;

    std::string encode() const;
    static std::optional<OriginNote> decode(const std::string &bytes);
};

/// Asks another instance where a stream began.
struct OriginQuery {
    RequestId attempt;
    PoolId pool; ///< Where the stream would go on.

    std::string encode() const;
    static std::optional<OriginQuery> decode(const std::string &bytes);
};

struct OriginAnswer {
    std::optional<StreamOrigin> origin; ///< If it was noted.
    std::set<SoftwareVersion> seenVersions; ///< Of the pool; compare SoftwareVersions.
    bool isComplete = false; ///< There were no others up to the revision.
    std::uint64_t endpointsRevision = 0; ///< Up to which all changes to the list of endpoints were seen.

    std::string encode() const;
    static std::optional<OriginAnswer> decode(const std::string &bytes);
};

} // namespace flamingo
