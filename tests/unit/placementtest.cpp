#include "placementsimulation.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace flamingo;

// Prints the figures of docs/design/placement.md; not run by default.
TEST_CASE("Placement figures", "[.][placement-figures]")
{
    for (const double programsPerSecond : {30.0, 40.0, 50.0, 60.0}) {
        for (const unsigned seed : {1U, 2U}) {
            PlacementSettings settings;
            settings.programsPerSecond = programsPerSecond;
            settings.seed = seed;
            fmt::print("{} programs/s, seed {}: {}\n", programsPerSecond, seed, simulatePlacement(settings).summary());
        }
    }
}
