#pragma once

#include "serving/endpointentry.h"

#include <cstdint>
#include <vector>

namespace flamingo
{

/// What a watch of the registered endpoints has seen.
struct EndpointChanges {
    bool isOk = false;
    bool isSnapshot = false; ///< Whoever isn't present has gone.
    std::uint64_t revision = 0; ///< Where the next watch goes on.
    std::vector<EndpointEntry> updated;
    std::vector<EndpointId> removed;
};

} // namespace flamingo
