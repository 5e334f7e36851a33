#pragma once

#include "core/time.h"

#include <cstddef>
#include <string>

namespace flamingo
{

/// The rules by which calls are ordered, placed and refused. Each can be switched off, to see what it contributes.
struct PolicyRules {
    bool usesPriority = true; ///< Calls of a higher priority class go first.
    bool usesLeastAttainedService = true; ///< Then calls of the program that has had the least service so far.
    bool usesAgeing = true; ///< A call's waiting time counts against the service its program has had.
    bool reservesUrgentSlots = true; ///< The last slots of a pool are kept for urgent calls.
    bool limitsLongCalls = true; ///< Long calls don't take more than their share of slots.
    bool adaptsConcurrencyLimits = true; ///< Concurrency per endpoint follows the observed latency.
    bool usesPrefixAffinity = true; ///< A program goes where its prefix is cached, unless waiting there costs more.
    bool avoidsSlowEndpoints = true; ///< Endpoints that are slower than their peers get less.
    bool refusesEarly = true; ///< A call that can't meet its deadline is refused at once.
    bool movesStreams = true; ///< A stream on a slow endpoint goes on at another, where it resumes.
    bool hedgesCalls = true; ///< A repeatable call without a first token for too long is sent to a second endpoint.

    std::size_t maxQueueLength = 2000; ///< Most waiting calls of one pool; batch calls get a third, normal ones two thirds.
    double urgentSlotShare = 0.15; ///< Share of a pool's slots that only urgent calls take.
    double longCallSlotShare = 0.5; ///< Share of a pool's slots that long calls may take.
    double hedgeRatio = 0.05; ///< Hedges as a share of calls.
    Milliseconds longCallThreshold{4000}; ///< A call that is expected to take longer is long.
    Milliseconds maxAffinityWait{1500}; ///< The longest that a call is held back for the sake of a cached prefix.

    /// Round robin, first in first out, fixed limits: the yardstick that is kept for good.
    static PolicyRules baseline();

    /// Switches a rule off by the name that settings and measurements use. Returns whether there is such a rule.
    bool disable(const std::string &ruleName);
};

} // namespace flamingo
