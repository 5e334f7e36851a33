#pragma once

#include "core/ids.h"

#include <optional>

namespace flamingo
{

/// A customer's part of the deployment, as the operator configures it. Its callers identify themselves with its keys.
struct Workspace {
    WorkspaceId id;
    std::optional<int> priority; ///< Goes before the route's priority; 0 is the most urgent.
    double requestsPerSecond = 0; ///< Quota over all instances; 0 if it isn't limited.
    double burst = 0; ///< Requests beyond that rate in any quota window.
};

} // namespace flamingo
