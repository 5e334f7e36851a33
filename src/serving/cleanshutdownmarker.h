#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <optional>
#include <string>

namespace flamingo
{

/// Left behind by an instance that has stopped as planned and owed the store nothing, for its next life on the machine.
struct CleanShutdownMarker {
    /// Where it is kept in the store; the rest of the key is the instance's name.
    static constexpr const char *KeyPrefix = "left/";

    Milliseconds bootTime{0}; ///< Of the clock that goes on while the machine is suspended.
    Milliseconds wallTime{0}; ///< Unix time.

    /// A departure at this moment.
    static CleanShutdownMarker now();

    std::string encode() const;
    static std::optional<CleanShutdownMarker> decode(const std::string &bytes);

    /// Whether it was so recent that no other instance has begun to lend to this one's programs. The two clocks have to
    /// agree, since one starts anew with the machine and the other may jump.
    bool isRecent(const CleanShutdownMarker &now) const;
};

} // namespace flamingo
