#include "serving/admission.h"

#include "core/digest.h"
#include "serving/drainschedule.h"
#include "serving/routetable.h"

#include <algorithm>

namespace flamingo
{

namespace
{
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;
/// For routes without a time limit.
constexpr Milliseconds DefaultTimeout{60000};

tl::unexpected<Refusal> refusal(int status, const char *reason, std::optional<Milliseconds> retryAfter = std::nullopt)
{
    return tl::make_unexpected(Refusal{status, reason, retryAfter});
}
} // namespace

Admission::Admission(const RouteTable &routes, const DrainSchedule &drainSchedule)
    : m_routes(routes)
    , m_drainSchedule(drainSchedule)
{
}

tl::expected<AdmittedRequest, Refusal> Admission::admit(const RequestMetadata &metadata, Instant arrivedAt, Instant now) const
{
    if (!m_routes.isLoaded()) {
        return refusal(StatusUnavailable, "no-configuration", DefaultRetryAfter);
    }
    const Route *route = m_routes.find(metadata.host, metadata.path);
    if (!route) {
        return refusal(StatusNotFound, "no-route");
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
