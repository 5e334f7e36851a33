#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace flamingo
{

using RouteId = StrongId<struct RouteTag, std::string>;

/// The number of a configuration; a higher one is newer.
using ConfigurationVersion = StrongId<struct ConfigurationVersionTag, std::uint64_t>;

/// What a route's requests are, which decides what may be repeated.
enum class CallKind {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< Runs at most once for each attempt of the caller.
    Stream, ///< Answered by events; as non-idempotent unless the route can resume.
};

/// A share of a route's requests that goes to one pool.
struct WeightedPool {
    PoolId pool;
    int weight = 1;
};

/// Requests of one host below one path, and how they are to be handled.
struct Route {
    RouteId id;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    CallKind kind = CallKind::NonIdempotent;
    std::vector<WeightedPool> pools;
    Milliseconds timeout{0}; ///< The longest that a caller is kept waiting.
    Milliseconds latencyObjective{0}; ///< Answers within this time are on time; for streams, to the first event.
    Milliseconds maxEventGap{0}; ///< The longest pause between a stream's events that is still on time.
    int priority = 0; ///< 0 is the most urgent.
    int maxAttempts = 1; ///< Endpoints to which one attempt of a caller may be sent.
    bool isResumable = false;
    bool isStateful = false; ///< The system keeps the turns and sends their history along.
    bool isSticky = false; ///< Endpoints gain from seeing the same object again.
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
    int maxConnections = 0; ///< Of all callers to one endpoint.
    int slots = 0; ///< Calls at once at one endpoint; 0 when unknown.
    std::int64_t tokensPerEvent = 1; ///< Tokens in each event of a stream.
};

/// What callers may send.
struct CallerLimits {
    std::size_t maxHeadBytes = 16384;
    std::size_t maxBodyBytes = std::size_t(4) * 1024 * 1024;
    Milliseconds headTimeout{3000};
    Milliseconds idleTimeout{15000};
};

/// The operator's configuration, whole.
struct ServingConfiguration {
    ConfigurationVersion version;
    std::vector<Route> routes;
    std::map<PoolId, PoolInfo> pools;
    CallerLimits limits;
};

} // namespace flamingo
