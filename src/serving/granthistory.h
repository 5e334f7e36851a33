#pragma once

#include "core/strongid.h"
#include "serving/incarnationid.h"
#include "serving/requestmetadata.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// A span of an incarnation's life. The next one begins when all provisional grants of this one are recorded.
using GrantPeriod = StrongId<struct GrantPeriodTag, std::uint64_t>;

/// What an instance's heartbeat tells its next incarnation: which marks to look for, to find out whether there may be provisional
/// grants that the store hasn't recorded. See GrantMarks.
struct GrantHistory {
    /// One incarnation, and the period that it was in.
    struct Entry {
        IncarnationId incarnation;
        GrantPeriod period;
        bool marksGrants = true; ///< It makes no provisional grant before the period's mark is stored.

        /// The id under which the period's mark is stored. No caller's turn can have it.
        RequestId markId() const;
    };

    Entry own;
    std::vector<Entry> earlier; ///< Earlier incarnations that may have unrecorded grants.
    bool isComplete = true; ///< Whether all such incarnations are named.

    /// The history that the next incarnation begins with.
    GrantHistory next(const IncarnationId &incarnation) const;

    /// The same where nothing is known of earlier incarnations.
    static GrantHistory afterUnknown(const IncarnationId &incarnation);

    std::string encode() const;
    static std::optional<GrantHistory> decode(const std::string &bytes);
};

} // namespace flamingo
