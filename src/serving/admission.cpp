#include "serving/admission.h"

#include "core/digest.h"
#include "serving/configurationage.h"
#include "serving/drainschedule.h"
#include "serving/programkey.h"
#include "serving/routetable.h"

#include <algorithm>

namespace flamingo
{

namespace
{
constexpr int StatusBadRequest = 400;
constexpr int StatusUnauthorized = 401;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;
/// For routes without a time limit.
constexpr Milliseconds DefaultTimeout{60000};

tl::unexpected<Refusal> refusal(int status, const char *reason, std::optional<Milliseconds> retryAfter = std::nullopt)
{
    return tl::make_unexpected(Refusal{status, reason, retryAfter});
}

/// The workspace of a caller; nothing on a public route without a key.
tl::expected<std::optional<Workspace>, Refusal>
identify(const WorkspaceDirectory &workspaces, bool mayRejectUnknownKeys, const Route &route, const std::optional<KeyDigest> &key)
{
    if (!workspaces.isConfigured()) {
        return std::nullopt;
    }
    if (!key && !route.isPublic) {
        return refusal(StatusUnauthorized, "missing-key");
    }
    if (!key) {
        return std::nullopt;
    }
    if (const Workspace *workspace = workspaces.find(*key)) {
        return *workspace;
    }
    // A 401 ends the caller's program, so it is given only where the key is known to be wrong.
    if (!workspaces.isComplete()) {
        return refusal(StatusUnavailable, "workspaces-unreadable", DefaultRetryAfter);
    }
    if (!mayRejectUnknownKeys) {
        return refusal(StatusUnavailable, "configuration-unconfirmed", DefaultRetryAfter);
    }
    return refusal(StatusUnauthorized, "unknown-key");
}
} // namespace

std::optional<WorkspaceId> workspaceId(const AdmittedRequest &request)
{
    return request.workspace ? std::optional<WorkspaceId>(request.workspace->id) : std::nullopt;
}

Admission::Admission(const RouteTable &routes, const DrainSchedule &drainSchedule, const ConfigurationAge &configurationAge)
    : m_routes(routes)
    , m_drainSchedule(drainSchedule)
    , m_configurationAge(configurationAge)
{
}

std::optional<Refusal> Admission::recheck(const AdmittedRequest &request, Instant suspendAwareNow) const
{
    if (!request.workspace || m_configurationAge.mayAcceptKeys(suspendAwareNow)) {
        return std::nullopt;
    }
    return Refusal{StatusUnavailable, "configuration-unconfirmed", DefaultRetryAfter};
}

tl::expected<AdmittedRequest, Refusal> Admission::admit(const RequestMetadata &metadata, Instant arrivedAt, Instant now, Instant suspendAwareNow) const
{
    if (!m_routes.isLoaded()) {
        return refusal(StatusUnavailable, "no-configuration", DefaultRetryAfter);
    }
    const Route *route = m_routes.find(metadata.host, metadata.path);
    if (!route) {
        return refusal(StatusNotFound, "no-route");
    }
    const bool usesKey = m_routes.workspaces().isConfigured() && metadata.key;
    if (usesKey && !m_configurationAge.mayAcceptKeys(suspendAwareNow)) {
        return refusal(StatusUnavailable, "configuration-unconfirmed", DefaultRetryAfter);
    }
    auto workspace = identify(m_routes.workspaces(), m_configurationAge.mayRejectUnknownKeys(suspendAwareNow), *route, metadata.key);
    if (!workspace) {
        return tl::make_unexpected(workspace.error());
    }
    if (metadata.id.value().empty()) {
        return refusal(StatusBadRequest, "no-attempt-id");
    }
    // Such a budget couldn't be enforced.
    if (metadata.hasUnreadableBudget) {
        return refusal(StatusBadRequest, "unreadable-budget");
    }
    AdmittedRequest admitted;
    admitted.route = *route;
    admitted.workspace = std::move(*workspace);
    admitted.hidesCredentials = m_routes.workspaces().isConfigured();
    admitted.priority = admitted.workspace ? admitted.workspace->priority.value_or(route->priority) : route->priority;
    admitted.program = programKey(metadata, admitted.workspace);
    const std::string &poolKey = metadata.session ? metadata.session->value() : metadata.id.value();
    admitted.pool = choosePool(*route, stableHash(poolKey, 0));
    const PoolInfo *pool = m_routes.pool(admitted.pool);
    admitted.tokensPerEvent = pool ? pool->tokensPerEvent : 1;
    const Milliseconds timeout = route->timeout.count() > 0 ? route->timeout : DefaultTimeout;
    admitted.deadline = arrivedAt + std::min(timeout, metadata.timeLeft.value_or(timeout));
    if (!m_drainSchedule.mayAccept(now, admitted.deadline)) {
        return refusal(StatusUnavailable, "stopping", StoppingRetryAfter);
    }
    return admitted;
}

} // namespace flamingo
