#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "policy/endpointstate.h"
#include "policy/policyrules.h"

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace flamingo
{

struct DispatchRequest;

/// An endpoint as configured.
struct EndpointInfo {
    EndpointId id;
    PoolId pool;
    DomainId domain;
    int slots = 1;
    bool isLeaving = false;
    SoftwareVersion version;
};

struct PoolEndpoint {
    EndpointInfo info;
    EndpointState state;
};

/// The endpoints of a pool, and what is derived from all of them.
struct EndpointPool {
    std::vector<PoolEndpoint> endpoints;
    std::size_t nextRoundRobinIndex = 0;
    double medianMsPerToken = 0; ///< Median of the endpoints.
    double meanServiceTimeMs = 0;
    double medianUsualMsPerToken = 0; ///< Without decay, so that it tells lastingly slow endpoints from busy ones.
    double meanCallsOfOthers = 0; ///< Calls of other dispatchers at an endpoint, as far as reports tell.

    /// Returns null for an endpoint of another pool.
    PoolEndpoint *find(const EndpointId &id);

    /// Whether any endpoint takes the call, now or later.
    bool hasUsableEndpoint(const DispatchRequest &call) const;
    bool hasFreeSlot(const PolicyRules &rules) const;
    void updateStatistics(Instant now);

    /// Calls that the endpoint is expected to have now: the own ones and those of other dispatchers.
    double expectedCalls(const PoolEndpoint &endpoint, Instant now) const;

private:
    void updateMeanLoad(Instant now);
};

/// Whether the endpoint takes the call at all, apart from its load: it isn't leaving, and has the version that the call requires.
bool takesCall(const EndpointInfo &endpoint, const DispatchRequest &call);

/// Whether the endpoint's measured speed is far below that of its pool.
bool isSlowEndpoint(double msPerToken, const EndpointPool &pool);

/// The part of a call's prompt that an endpoint has cached, as far as is known.
struct KnownPrefix {
    std::optional<EndpointId> endpoint;
    Tokens tokens;
};

struct EndpointChoice {
    std::optional<EndpointId> endpoint;
    bool waitsForAffinity = false;
    std::string reason;
};

/// Chooses endpoints by the estimated cost of the call there.
class EndpointChooser
{
public:
    EndpointChooser(PolicyRules rules, DomainId ownDomain);

    /// See Dispatcher::setDispatchers().
    void setDispatchers(std::size_t count, std::uint64_t seed);

    /// See Dispatcher::setUnreachableDomains().
    void setUnreachableDomains(std::set<DomainId> domains);

    /// Whether the load of the endpoints is estimated and spread for this call.
    bool spreadsEvenly(const DispatchRequest &call, const EndpointPool &pool) const;

    EndpointChoice choose(const DispatchRequest &call, const KnownPrefix &prefix, EndpointPool &pool, Instant now) const;

private:
    EndpointChoice chooseRoundRobin(const DispatchRequest &call, EndpointPool &pool, Instant now) const;
    bool isBeingProbed(const PoolEndpoint &endpoint, const EndpointPool &pool, Instant now) const;
    double estimatedCostMs(const DispatchRequest &call, const KnownPrefix &prefix, const PoolEndpoint &endpoint, const EndpointPool &pool, Instant now) const;

    double evenCostMs(const DispatchRequest &call, const KnownPrefix &prefix, const PoolEndpoint &endpoint, const EndpointPool &pool, Instant now) const;

    PolicyRules m_rules;
    DomainId m_ownDomain;
    std::set<DomainId> m_unreachableDomains;
    std::size_t m_dispatcherCount = 0;
    std::uint64_t m_seed = 0;
};

} // namespace flamingo
