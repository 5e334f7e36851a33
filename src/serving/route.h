#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "serving/workspace.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

using RouteId = StrongId<struct RouteTag, std::string>;

/// The number of a configuration; a higher one is newer.
using ConfigurationVersion = StrongId<struct ConfigurationVersionTag, std::uint64_t>;

/// Kind of a route's requests, which decides whether they may be sent again.
enum class CallKind {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< Runs at most once for each of the caller's attempts.
    Stream, ///< Answered by a stream of events; treated as non-idempotent unless the route is resumable.
};

/// A share of a route's requests that goes to one pool.
struct WeightedPool {
    PoolId pool;
    int weight = 1;
};

/// How requests for one host below one path are handled.
struct Route {
    RouteId id;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    CallKind kind = CallKind::NonIdempotent;
    std::vector<WeightedPool> pools;
    Milliseconds timeout{0}; ///< The longest that a caller is kept waiting.
    Milliseconds latencyObjective{0}; ///< Responses within this time meet the objective; for streams, the first event.
    Milliseconds maxEventGap{0}; ///< The longest gap between events of a stream that meets the objective.
    int priority = 0; ///< 0 is the most urgent.
    int maxAttempts = 1; ///< Number of endpoints that one attempt of a caller may be sent to.
    bool isResumable = false;
    bool isStateful = false; ///< Turns are stored, and their history is sent along with the next one.
    bool isPublic = false; ///< Needs no key where the configuration has workspaces.
    bool isSticky = false; ///< Requests for an object are cheaper at an endpoint that has handled it before.
    Milliseconds retention{0}; ///< How long turns are kept.

    bool mayRepeat() const
    {
        return kind == CallKind::Idempotent || (kind == CallKind::Stream && isResumable);
    }
};

/// A pool of endpoints.
struct PoolInfo {
    PoolId id;
    std::string healthPath;
    int maxConnections = 0; ///< To one endpoint, over all callers.
    int slots = 0; ///< Concurrent calls at one endpoint; 0 when unknown.
    std::int64_t tokensPerEvent = 1; ///< Tokens in each event of a stream.
};

/// Limits on callers' requests and connections.
struct CallerLimits {
    std::size_t maxHeadBytes = 16384;
    std::size_t maxBodyBytes = std::size_t(4) * 1024 * 1024;
    Milliseconds headTimeout{3000};
    Milliseconds idleTimeout{15000};
};

/// The operator's complete configuration.
struct ServingConfiguration {
    ConfigurationVersion version;
    std::vector<Route> routes;
    std::map<PoolId, PoolInfo> pools;
    CallerLimits limits;
    std::optional<WorkspaceConfiguration> workspaces; ///< Not set in a deployment without workspaces.
};

} // namespace flamingo
