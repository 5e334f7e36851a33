#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace flamingo
{

/// The kinds of programs in the workload.
enum class ProgramKind { UrgentQuery, ShortTask, Conversation, LongTask };

const char *programKindName(ProgramKind kind);

/// A program that starts at a fixed time after the start of the run, regardless of the progress of others (open loop).
struct Arrival {
    Milliseconds at{0};
    ProgramKind kind = ProgramKind::ShortTask;
};

/// The load of a run: a base arrival rate with peaks of a few seconds. The shares are fractions of all programs; the
/// remaining ones are short tasks.
struct LoadPlan {
    double baseProgramsPerSecond = 8;
    double peakProgramsPerSecond = 40;
    Milliseconds length{20000};
    std::vector<Milliseconds> peakStarts{Milliseconds(5000), Milliseconds(13000)};
    Milliseconds peakLength{3000};
    double urgentShare = 0.15;
    double conversationShare = 0.25;
    double longTaskShare = 0.04;
};

/// Draws the Poisson arrivals of a plan. The same seed gives the same arrivals.
std::vector<Arrival> makeArrivals(const LoadPlan &plan, std::uint64_t seed);

/// Whether a time lies in a peak or in the second after it.
bool isInPeak(const LoadPlan &plan, Milliseconds at);

} // namespace flamingo
