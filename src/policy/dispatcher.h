#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/time.h"
#include "policy/domaincosts.h"
#include "policy/endpointstate.h"
#include "policy/policyrules.h"
#include "programs/records.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace flamingo
{

/// Identifies a call within one process.
using CallId = StrongId<struct CallIdTag, std::uint64_t>;

/// What the dispatcher knows of a call: the properties that decide its order, its endpoint and whether it is refused.
struct DispatchRequest {
    CallId id;
    ProgramId program;
    PoolId pool;
    PriorityClass priority = PriorityClass::Normal;
    Milliseconds attainedService{0}; ///< Service time of all calls of the program so far.
    Instant arrivedAt;
    Instant deadline;
    Tokens promptTokens; ///< Prompt length, cached part included.
    Tokens expectedAnswerTokens; ///< Expected length of the answer.
    bool isRepeatable = true;
    bool isRetry = false; ///< Exempt from the queue limit and the deadline check, since it was accepted before.
    bool isLong = false; ///< Set by Dispatcher::enqueue().
    std::optional<EndpointId> prefixEndpoint; ///< Has the prompt prefix cached. Overrides what onPrefixCached() recorded.
    Tokens cachedPrefixTokens; ///< Length of the prefix at that endpoint.
    std::set<EndpointId> failedEndpoints; ///< Tried again only if there is no other endpoint.
    std::optional<WorkspaceId> workspace; ///< Of the caller, where the configuration has workspaces.
    bool isContinuation = false; ///< The call continues a program that has had a turn or a call.
};

/// The decision to send a call to an endpoint.
struct DispatchDecision {
    CallId call;
    EndpointId endpoint;
    std::string reason; ///< Shown to operators who ask for the program's decisions.
};

/// An endpoint as configured.
struct EndpointInfo {
    EndpointId id;
    PoolId pool;
    DomainId domain;
    int slots = 1;
    bool isLeaving = false;
};

/// Orders queued calls, limits their concurrency, chooses endpoints and refuses calls. It does no I/O and reads no clock; the
/// time is passed in.
class Dispatcher
{
public:
    Dispatcher(PolicyRules rules, DomainId ownDomain);

    /// Replaces the endpoints. The state of those that remain is kept. dispatcherCount is the number of processes that share them.
    void setEndpoints(const std::vector<EndpointInfo> &endpoints, int dispatcherCount);

    /// Marks an endpoint as leaving before the configuration does.
    void markLeaving(const EndpointId &endpoint);

    /// Sets the failure domains that can't be reached. Their endpoints are used only where no other has a free slot.
    void setUnreachableDomains(std::set<DomainId> domains)
    {
        m_domainCosts.setUnreachableDomains(std::move(domains));
    }

    /// Queues a call or refuses it with NoEndpoint, Overloaded or DeadlineUnreachable. A refused call has not run.
    Result<void> enqueue(DispatchRequest &call, Instant now);

    /// Removes a call from the queue. Returns whether it was queued.
    bool remove(CallId call);

    /// Removes the calls that may be sent now from the queue and takes a slot for each.
    std::vector<DispatchDecision> nextDecisions(Instant now);

    /// Removes and returns the queued calls of pools in which no endpoint takes new calls.
    std::vector<CallId> takeUnservable();

    /// Removes and returns the queued calls whose deadline has passed.
    std::vector<CallId> takeExpiredCalls(Instant now);

    /// Takes a slot at a second endpoint for a call whose first token is overdue, if the hedge budget allows.
    std::optional<EndpointId> tryHedge(const DispatchRequest &call, const EndpointId &firstEndpoint, Instant sentAt, Instant now);

    /// Takes a slot at another endpoint for a running stream, if the hedge budget allows and the stream would end so much sooner
    /// there that the repeated prefill pays off.
    std::optional<EndpointId> tryMove(const DispatchRequest &call, const EndpointId &from, Tokens generatedTokens, Instant now);

    /// Records the time per token of a running stream.
    void onTokenTimeObserved(const EndpointId &endpoint, double msPerToken, Instant now);

    /// Records the load that an endpoint reported with an answer.
    void onLoadReported(const EndpointId &endpoint, const EndpointLoad &load, Instant now);

    /// Records that an attempt was answered and frees its slot.
    void onAttemptFinished(const DispatchRequest &call, const EndpointId &endpoint, const CallObservation &observation, Instant now);

    /// Records that an attempt ended without an answer and frees its slot. If the fault is the endpoint's, it is backed off.
    void onAttemptFailed(const DispatchRequest &call, const EndpointId &endpoint, bool isEndpointFault, Instant now);

    /// Records how many prompt tokens of the program the endpoint now has cached.
    void onPrefixCached(const ProgramId &program, const EndpointId &endpoint, Tokens tokens);

    /// The endpoint that last cached the program's prefix, as far as is known.
    std::optional<EndpointId> prefixEndpoint(const ProgramId &program) const;

    void forgetProgram(const ProgramId &program);

    std::size_t queuedCalls() const;

    /// How long a refused caller should wait before it retries.
    Milliseconds retryAfter(const PoolId &pool) const;

    /// Returns null for an unknown endpoint.
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
        double medianMsPerToken = 0; ///< Median of the endpoints.
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

    std::optional<EndpointId>
    chooseAmongEqual(const DispatchRequest &call, const std::vector<std::pair<double, EndpointId>> &candidates, double lowestCostMs) const;

    /// The endpoint that has the call's prefix cached, as far as is known.
    std::optional<EndpointId> knownPrefixEndpoint(const DispatchRequest &call) const;
    Tokens cachedPrefixTokens(const DispatchRequest &call, const EndpointId &endpoint) const;
    double rank(const DispatchRequest &call, Instant now) const;
    bool isLong(const DispatchRequest &call, const Pool &pool) const;
    /// Takes a slot at another endpoint than the given one and charges the hedge budget.
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
    bool hasUsableEndpoint(const Pool &pool) const;

    PolicyRules m_rules;
    DomainCosts m_domainCosts;
    std::map<EndpointId, Endpoint> m_endpoints;
    std::map<PoolId, Pool> m_pools;
    std::unordered_map<ProgramId, CachedPrefix> m_cachedPrefixes;
    double m_hedgeBudget = 1;
};

} // namespace flamingo
