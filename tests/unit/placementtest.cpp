#include "placementsimulation.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <vector>

using namespace flamingo;

namespace
{
PlacementSettings secondDeployment()
{
    PlacementSettings settings;
    settings.dispatchers = 57;
    settings.engines = 44;
    settings.slots = 12;
    settings.domains = 4;
    settings.waveShare = 0.5;
    settings.programsPerSecond = 34;
    return settings;
}

PlacementSettings plainServices()
{
    PlacementSettings settings;
    settings.engines = 13;
    settings.slots = 6;
    settings.isPlainService = true;
    settings.programsPerSecond = 500;
    settings.seconds = 20;
    return settings;
}

PlacementSettings withLoad(double programsPerSecond)
{
    PlacementSettings settings;
    settings.programsPerSecond = programsPerSecond;
    return settings;
}

PlacementSettings withKilledDispatchers()
{
    PlacementSettings settings;
    settings.killedDispatchersPercent = 33;
    return settings;
}

PlacementSettings withFreshReports()
{
    PlacementSettings settings;
    settings.reportAgeMs = 0;
    return settings;
}
} // namespace

// Prints the figures of docs/design/placement.md; not run by default.
TEST_CASE("Placement figures", "[.][placement-figures]")
{
    const std::vector<std::pair<const char *, PlacementSettings>> cases = {{"40 programs/s", withLoad(40)},
                                                                           {"50 programs/s", withLoad(50)},
                                                                           {"second deployment", secondDeployment()},
                                                                           {"a third killed", withKilledDispatchers()},
                                                                           {"fresh reports", withFreshReports()},
                                                                           {"plain services", plainServices()}};
    for (const auto &[name, load] : cases) {
        for (const bool spreadsEvenly : {false, true}) {
            for (const unsigned seed : {1U, 2U, 3U, 4U, 5U}) {
                PlacementSettings settings = load;
                settings.seed = seed;
                settings.rules.spreadsEvenly = spreadsEvenly;
                fmt::print("{}, {}, seed {}: {}\n", name, spreadsEvenly ? "even-load" : "without", seed, simulatePlacement(settings).summary());
            }
        }
    }
}

// Load pattern: each of many dispatchers hears of an endpoint only every few seconds. Guards against endpoints that look idle because
// nothing was heard of them, and against programs that move away from their cached prompts.
TEST_CASE("Many dispatchers with old reports spread their load over the engines")
{
    for (const unsigned seed : {1U, 2U}) {
        PlacementSettings settings;
        settings.seed = seed;
        const PlacementResult even = simulatePlacement(settings);
        settings.rules.spreadsEvenly = false;
        const PlacementResult before = simulatePlacement(settings);
        INFO("even-load: " << even.summary());
        INFO("without: " << before.summary());
        CHECK(even.busiestToMean - 1 < 0.75 * (before.busiestToMean - 1));
        CHECK(even.tokensReadAgain < before.tokensReadAgain);
        CHECK(even.lateShare < before.lateShare);
    }
}

// Guards against a change of decisions for deployments that don't call for the rule.
TEST_CASE("Decisions are as without the rule where dispatchers are few or their number isn't known")
{
    PlacementSettings settings;
    settings.seconds = 10;
    settings.rules.spreadsEvenly = false;
    const std::string manyWithout = simulatePlacement(settings).summary();
    settings.rules.spreadsEvenly = true;
    CHECK(simulatePlacement(settings).summary() != manyWithout);
    settings.knowsDispatchers = false;
    CHECK(simulatePlacement(settings).summary() == manyWithout);

    settings = PlacementSettings();
    settings.seconds = 10;
    settings.dispatchers = settings.engines;
    settings.rules.spreadsEvenly = false;
    const std::string fewWithout = simulatePlacement(settings).summary();
    settings.rules.spreadsEvenly = true;
    CHECK(simulatePlacement(settings).summary() == fewWithout);
}
