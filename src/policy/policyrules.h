#pragma once

#include "core/time.h"

#include <cstddef>
#include <string>

namespace flamingo
{

/// The scheduling rules: how calls are ordered, placed and refused. Each rule can be disabled to measure its effect.
struct PolicyRules {
    bool usesPriority = true; ///< Calls of a higher priority class go first.
    bool usesLeastAttainedService = true; ///< Within a class, the program with the least attained service goes first.
    bool usesAgeing = true; ///< Waiting time offsets attained service; after a long wait a call counts as one class higher.
    bool reservesUrgentSlots = true; ///< A share of a pool's slots is reserved for urgent calls.
    bool limitsLongCalls = true; ///< Long calls take at most a share of a pool's slots.
    bool adaptsConcurrencyLimits = true; ///< The concurrency limit of an endpoint follows its observed latency.
    bool usesPrefixAffinity = true; ///< Calls go to the endpoint that has the program's prompt prefix cached, unless waiting there costs more.
    bool avoidsSlowEndpoints = true; ///< Endpoints that are slower than the rest of their pool get fewer calls.
    bool refusesEarly = true; ///< A call that isn't expected to meet its deadline is refused on arrival; lower classes get shorter queues.
    bool movesStreams = true; ///< A stream on a slow endpoint is resumed on another one.
    /// Where a pool has more dispatchers than endpoints, or a call belongs to a workspace: the load of endpoints is estimated from old
    /// reports, and dispatchers with the same view choose differently.
    bool spreadsEvenly = true;
    bool hedgesCalls = true; ///< A repeatable call whose first token is overdue is also sent to a second endpoint.

    std::size_t maxQueueLength = 2000; ///< Maximum queue length of a pool. Batch calls may fill one third of it, normal calls two thirds.
    double urgentSlotShare = 0.15; ///< Share of a pool's slots that only urgent calls may take.
    double longCallSlotShare = 0.5; ///< Share of a pool's slots that long calls may take.
    double hedgeRatio = 0.05; ///< Hedges and moves as a share of calls.
    Milliseconds longCallThreshold{4000}; ///< A call that is expected to take longer counts as long.
    Milliseconds maxAffinityWait{1500}; ///< Longest time that a call waits for a slot at the endpoint with its cached prefix.

    /// All rules disabled: round robin, first in first out, fixed concurrency limits. Kept as the reference for measurements.
    static PolicyRules baseline();

    /// Disables a rule by the name that settings and measurements use. Returns false if there is no such rule.
    bool disable(const std::string &ruleName);
};

} // namespace flamingo
