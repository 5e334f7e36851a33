#pragma once

#include "policy/dispatcher.h"

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace flamingo
{

/// Load and machines of a placement simulation. The defaults are those of the first deployment of docs/hard-load.md; lengths of answers
/// and pauses between turns are assumptions.
struct PlacementSettings {
    PolicyRules rules;
    int dispatchers = 67;
    int engines = 48;
    int slots = 16;
    int domains = 3;
    int sharedParts = 4; ///< Variants of the part with which prompts begin.
    double programsPerSecond = 40;
    double waveShare = 0.3; ///< Amplitude of the demand's waves.
    int seconds = 40;
    bool isPlainService = false; ///< Short calls without a prompt, one a program.
    int reportAgeMs = 200;
    bool hasDeadlines = false; ///< Programs end at their deadline, finished or not.
    int workspaces = 0;
    double hotWorkspaceFactor = 1; ///< Demand of the first workspace relative to the others.
    int killedDispatchersPercent = 0; ///< Killed halfway through, with the programs' calls going to the others.
    bool knowsDispatchers = true; ///< Whether the dispatchers are told how many they are.
    unsigned seed = 1;
};

struct PlacementResult {
    double busiestToMean = 0; ///< Slot time of the busiest engine over the whole run, relative to the mean.
    double busiestToMeanBySecond = 0; ///< The same for each second, averaged.
    double meanRunning = 0; ///< Running requests of an engine.
    double meanQueueMs = 0; ///< From the arrival at the dispatcher to the engine's beginning.
    double longQueueMs = 0; ///< 95th percentile of the same.
    double meanDispatchWaitMs = 0; ///< The part of it at the dispatcher.
    double tokensReadAgain = 0; ///< Prompt tokens read that an engine had had in its cache or had read before preemption.
    double sharedReadAgain = 0; ///< The part of them that belongs to shared parts.
    int preempted = 0;
    int turns = 0;
    double meanStretch = 0; ///< Time of a program relative to its time on idle engines.
    double longStretch = 0; ///< 95th percentile of the same.
    double lateShare = 0; ///< Programs over 1.65 times their time on idle engines, or refused.
    double otherDomainShare = 0; ///< Turns sent to another failure domain.
    int refused = 0;
    std::vector<double> servedByWorkspace; ///< Share of each workspace's programs that ended in time.
    std::string summary() const;
};

/// Runs dispatchers and engines on one simulated clock with steps of a millisecond.
PlacementResult simulatePlacement(const PlacementSettings &settings);

} // namespace flamingo
