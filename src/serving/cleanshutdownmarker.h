#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <optional>
#include <string>

namespace flamingo
{

/// Written to the store by an instance that shuts down as planned with all its provisional grants recorded, and read by
/// the instance's next start.
struct CleanShutdownMarker {
    /// Prefix of the marker's key in the store; followed by the instance's id.
    static constexpr const char *KeyPrefix = "left/";

    Milliseconds bootTime{0}; ///< Time since boot, including time for which the machine was suspended.
    Milliseconds wallTime{0}; ///< Unix time.

    /// A marker with the present time.
    static CleanShutdownMarker now();

    std::string encode() const;
    static std::optional<CleanShutdownMarker> decode(const std::string &bytes);

    /// Whether the shutdown was so recent that no other instance has made provisional grants to this one's programs since.
    /// Both clocks have to agree on the time between, since one restarts with the machine and the other may jump.
    bool isRecent(const CleanShutdownMarker &now) const;
};

} // namespace flamingo
