#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/time.h"
#include "policy/callorder.h"
#include "policy/endpointchoice.h"
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
    std::optional<WorkspaceId> workspace; ///< Of the caller, where the configuration has workspaces.
    bool isContinuation = false; ///< Continues a program that has had a turn or a call.
    bool isRepeatable = true;
    bool isRetry = false; ///< Exempt from the queue limit and the deadline check, since it was accepted before.
    bool isLong = false; ///< Set by Dispatcher::enqueue().
    std::optional<EndpointId> prefixEndpoint; ///< Has the prompt prefix cached. Overrides what onPrefixCached() recorded.
    Tokens cachedPrefixTokens; ///< Length of the prefix at that endpoint.
    std::optional<SoftwareVersion> requiredVersion; ///< No endpoint of another version takes the call.
    std::set<EndpointId> failedEndpoints; ///< Tried again only if there is no other endpoint.
};

/// The decision to send a call to an endpoint.
struct DispatchDecision {
    CallId call;
    EndpointId endpoint;
    std::string reason; ///< Shown to operators who ask for the program's decisions.
};

/// Orders queued calls, limits their concurrency, chooses endpoints and refuses calls. It does no I/O and reads no clock; the
/// time is passed in.
class Dispatcher
{
public:
    Dispatcher(PolicyRules rules, DomainId ownDomain);

    /// Replaces the endpoints. The state of those that remain is kept. dispatcherCount is the number of processes that share them.
    void setEndpoints(const std::vector<EndpointInfo> &endpoints, int dispatcherCount);

    /// Sets how many dispatchers share the endpoints, and a seed that is this dispatcher's own, by which it chooses differently from others
    /// that have the same view. The rules for many dispatchers take effect only once this is known. Unlike dispatcherCount above, it doesn't
    /// change concurrency limits.
    void setDispatchers(std::size_t count, std::uint64_t seed);

    /// Marks an endpoint as leaving before the configuration does.
    void markLeaving(const EndpointId &endpoint);

    /// Sets the failure domains that can't be reached. Their endpoints are used only where no other has a free slot.
    void setUnreachableDomains(std::set<DomainId> domains);

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

    /// Ends the backoff of all endpoints, whose failures were those of the way to them.
    void forgiveFailures();

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
    struct Pool {
        EndpointPool endpointPool;
        std::vector<DispatchRequest> queue;
    };
    struct CachedPrefix {
        EndpointId endpoint;
        Tokens tokens;
    };

    PoolEndpoint *findEndpoint(const EndpointId &id);
    KnownPrefix knownPrefix(const DispatchRequest &call) const;
    bool isLong(const DispatchRequest &call, const Pool &pool) const;
    /// Takes a slot at another endpoint than the given one and charges the hedge budget.
    std::optional<EndpointId> takeSlotElsewhere(const DispatchRequest &call, const EndpointId &from, Pool &pool, Instant now);
    bool mayTakeSlot(const DispatchRequest &call, const Pool &pool) const;
    void dispatchPool(Pool &pool, Instant now, std::vector<DispatchDecision> &decisions);
    double expectedWaitMs(const DispatchRequest &call, const Pool &pool) const;
    std::size_t queueLimit(PriorityClass priority) const;

    PolicyRules m_rules;
    EndpointChooser m_chooser;
    std::map<PoolId, Pool> m_pools;
    std::map<EndpointId, PoolId> m_poolOfEndpoint;
    std::unordered_map<ProgramId, CachedPrefix> m_cachedPrefixes;
    double m_hedgeBudget = 1;
};

} // namespace flamingo
