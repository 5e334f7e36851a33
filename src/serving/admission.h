#pragma once

#include "core/time.h"
#include "serving/requestmetadata.h"
#include "serving/route.h"
#include "serving/workspace.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>

namespace flamingo
{

class ConfigurationAge;
class DrainSchedule;
class RouteTable;

/// The answer to a request that is not processed. The request has not run and never will.
struct Refusal {
    int status = 0;
    const char *reason = ""; ///< For logs and metrics.
    std::optional<Milliseconds> retryAfter;
};

/// What is known of a request once it has been accepted.
struct AdmittedRequest {
    Route route;
    PoolId pool;
    std::int64_t tokensPerEvent = 1; ///< Of the pool's streams.
    Instant deadline;
    std::optional<Workspace> workspace; ///< Set where the caller has identified itself.
    bool hidesCredentials = false; ///< The configuration has workspaces, so the endpoint gets neither the caller's key nor a workspace that the caller names.
    int priority = 0; ///< The workspace's, or else the route's; 0 is the most urgent.
    /// The key under which homes and the dispatcher know the program, which differs between workspaces; compare programKey().
    ProgramId program;
};

/// The id of the request's workspace, where it has one.
std::optional<WorkspaceId> workspaceId(const AdmittedRequest &request);

/// Decides whether a request is accepted, before it waits for anything. It does no I/O.
class Admission
{
public:
    Admission(const RouteTable &routes, const DrainSchedule &drainSchedule, const ConfigurationAge &configurationAge);

    /// Checks a request that arrived at the given time against the configuration in force. suspendAwareNow tells how old that is.
    tl::expected<AdmittedRequest, Refusal> admit(const RequestMetadata &metadata, Instant arrivedAt, Instant now, Instant suspendAwareNow) const;

    /// The refusal of an accepted request whose key may have been taken away since, without this instance knowing of it. To be checked
    /// before the request is sent, since the process may have been paused.
    std::optional<Refusal> recheck(const AdmittedRequest &request, Instant suspendAwareNow) const;

private:
    const RouteTable &m_routes;
    const DrainSchedule &m_drainSchedule;
    const ConfigurationAge &m_configurationAge;
};

/// For how long a caller waits before it tries again, where nothing better is known.
constexpr Milliseconds DefaultRetryAfter{300};

/// A stopping instance's callers may retry at once, since the load balancer routes new connections to other instances.
constexpr Milliseconds StoppingRetryAfter{0};

} // namespace flamingo
