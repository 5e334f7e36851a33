#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/time.h"
#include "policy/endpointstate.h"
#include "policy/policyrules.h"
#include "programs/records.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace flamingo
{

/// Names a call inside one scheduler.
using CallId = StrongId<struct CallIdTag, std::uint64_t>;

/// A call that waits for an endpoint.
struct DispatchRequest {
    CallId id;
    ProgramId program;
    PoolId pool;
    PriorityClass priority = PriorityClass::Normal;
    Milliseconds attainedService{0}; ///< What the whole program has had.
    Instant arrivedAt;
    Instant deadline;
    Tokens promptTokens; ///< Prompt length.
    Tokens expectedAnswerTokens; ///< Expected answer length.
    bool isRepeatable = true;
    bool isRetry = false;
    bool isLong = false; ///< Set by Dispatcher::enqueue.
    std::optional<EndpointId> prefixEndpoint; ///< Where its prefix is cached, when the caller of enqueue knows better than onCached().
    Tokens cachedPrefixTokens; ///< How much of it.
    std::set<EndpointId> failedEndpoints; ///< Endpoints not to be tried again unless there is no other.
};

/// A decision: send this call there.
struct DispatchDecision {
    CallId call;
    EndpointId endpoint;
    std::string reason; ///< For the program's explanation.
};

/// What the configuration says of an endpoint.
struct EndpointInfo {
    EndpointId id;
    PoolId pool;
    DomainId domain;
    int slots = 1;
    bool isLeaving = false;
};

/// Decides which call goes next, how many at once, where, and what is refused. Pure: time comes in, decisions go out.
class Dispatcher
{
public:
    Dispatcher(PolicyRules rules, DomainId ownDomain);

    /// Installs the endpoints; what is known of the ones that stay is kept. Owners is the number of schedulers that share them.
    void setEndpoints(const std::vector<EndpointInfo> &endpoints, int dispatcherCount);

    /// Marks an endpoint as leaving, before the configuration says so.
    void markLeaving(const EndpointId &endpoint);

    /// Takes a call into the queue or refuses it, truly not run.
    Result<void> enqueue(DispatchRequest &call, Instant now);

    /// Takes a call out of the queue. Returns whether it was there.
    bool remove(CallId call);

    /// The calls that go out now.
    std::vector<DispatchDecision> nextDecisions(Instant now);

    /// Waiting calls whose deadline has passed; they are taken out.
    std::vector<CallId> takeExpiredCalls(Instant now);

    /// A second endpoint for a call whose first one is overdue, if the hedge budget allows.
    std::optional<EndpointId> tryHedge(const DispatchRequest &call, const EndpointId &firstEndpoint, Instant sentAt, Instant now);

    /// Another endpoint for a stream under way, if it would end so much sooner there that the new prefill is worth it.
    std::optional<EndpointId> tryMove(const DispatchRequest &call, const EndpointId &from, Tokens generatedTokens, Instant now);

    /// A stream under way has shown its pace.
    void onTokenTimeObserved(const EndpointId &endpoint, double msPerToken, Instant now);

    /// An endpoint has told how busy it is.
    void onLoadReported(const EndpointId &endpoint, const EndpointLoad &load, Instant now);

    /// A sending ended well.
    void onAttemptFinished(const DispatchRequest &call, const EndpointId &endpoint, const CallObservation &observation, Instant now);

    /// A sending ended otherwise; isFault when the endpoint is to blame.
    void onAttemptFailed(const DispatchRequest &call, const EndpointId &endpoint, bool isEndpointFault, Instant now);

    /// What the endpoint has cached of the program from now on.
    void onPrefixCached(const ProgramId &program, const EndpointId &endpoint, Tokens tokens);

    /// The endpoint that has cached the program's prefix, as far as is known.
    std::optional<EndpointId> prefixEndpoint(const ProgramId &program) const;

    void forgetProgram(const ProgramId &program);

    std::size_t queuedCalls() const;

    /// When a refused caller should come again.
    Milliseconds retryAfter(const PoolId &pool) const;

    const EndpointState *endpointState(const EndpointId &endpoint) const;

private:
    struct Endpoint {
        EndpointInfo info;
        EndpointState state;
    };
    struct Pool {
        std::vector<EndpointId> endpoints;
        std::vector<DispatchRequest> queue;
        std::size_t nextRoundRobinIndex = 0;
        double medianMsPerToken = 0; ///< Median of the endpoints' paces.
        double meanServiceTimeMs = 0;
    };
    struct CachedPrefix {
        EndpointId endpoint;
        Tokens tokens;
    };
    struct EndpointChoice {
        std::optional<EndpointId> endpoint;
        bool waitsForAffinity = false;
        std::string reason;
    };

    /// The endpoint that has the call's prefix cached, as far as is known.
    std::optional<EndpointId> knownPrefixEndpoint(const DispatchRequest &call) const;
    Tokens cachedPrefixTokens(const DispatchRequest &call, const EndpointId &endpoint) const;
    double rank(const DispatchRequest &call, Instant now) const;
    bool isLong(const DispatchRequest &call, const Pool &pool) const;
    /// Takes a slot for the call at another endpoint than this one, out of the hedge budget.
    std::optional<EndpointId> takeSlotElsewhere(const DispatchRequest &call, const EndpointId &from, Pool &pool, Instant now);
    bool isBeingProbed(const Endpoint &endpoint, const Pool &pool, Instant now) const;
    bool mayTakeSlot(const DispatchRequest &call, const Pool &pool) const;
    EndpointChoice chooseEndpoint(const DispatchRequest &call, Pool &pool, Instant now) const;
    EndpointChoice chooseRoundRobin(const DispatchRequest &call, Pool &pool, Instant now) const;
    double estimatedCostMs(const DispatchRequest &call, const Endpoint &endpoint, const Pool &pool, Instant now) const;
    void dispatchPool(Pool &pool, Instant now, std::vector<DispatchDecision> &decisions);
    void updatePoolStatistics(Pool &pool, Instant now) const;
    double expectedWaitMs(const DispatchRequest &call, const Pool &pool) const;
    std::size_t queueLimit(PriorityClass priority) const;

    PolicyRules m_rules;
    DomainId m_ownDomain;
    std::map<EndpointId, Endpoint> m_endpoints;
    std::map<PoolId, Pool> m_pools;
    std::unordered_map<ProgramId, CachedPrefix> m_cachedPrefixes;
    double m_hedgeBudget = 1;
};

} // namespace flamingo
