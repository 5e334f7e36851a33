#pragma once

#include "serving/endpointentry.h"

#include <cstdint>
#include <vector>

namespace flamingo
{

/// Result of a watch of the registered endpoints.
struct EndpointChanges {
    bool isOk = false;
    bool isSnapshot = false; ///< The result lists all endpoints; any other one has been removed.
    std::uint64_t revision = 0; ///< From which the next watch continues.
    std::vector<EndpointEntry> updated;
    std::vector<EndpointId> removed;
};

} // namespace flamingo
