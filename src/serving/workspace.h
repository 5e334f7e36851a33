#pragma once

#include "core/ids.h"

#include <optional>
#include <vector>

namespace flamingo
{

/// The SHA-256 digest of a workspace's key, as hexadecimal digits. It never leaves the process.
using KeyDigest = StrongId<struct KeyDigestTag, std::string>;

/// A customer's part of the deployment, as the operator configures it. Its callers identify themselves with its keys.
struct Workspace {
    WorkspaceId id;
    std::optional<int> priority; ///< Goes before the route's priority; 0 is the most urgent.
    double requestsPerSecond = 0; ///< Quota over all instances; 0 if it isn't limited.
    double burst = 0; ///< Requests beyond that rate in any quota window.
};

/// A workspace with the digests of its keys.
struct WorkspaceEntry {
    Workspace workspace;
    std::vector<KeyDigest> keys;
};

/// The workspaces of a configuration.
struct WorkspaceConfiguration {
    std::vector<WorkspaceEntry> entries;
    bool hasUnreadableEntries = false; ///< Some entries are left out, since they couldn't be decoded.
};

} // namespace flamingo
