#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace flamingo
{

/// What a program is like, in the measurement's workload.
enum class ProgramKind { UrgentQuery, ShortTask, Conversation, LongTask };

const char *programKindName(ProgramKind kind);

/// A program that arrives at a time, whatever happens to the others.
struct Arrival {
    Milliseconds at{0};
    ProgramKind kind = ProgramKind::ShortTask;
};

/// How the load of a run goes: a base rate, and crests that come and go within seconds.
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

/// Poisson arrivals of the plan, the same for the same seed.
std::vector<Arrival> makeArrivals(const LoadPlan &plan, std::uint64_t seed);

/// Whether a time lies in a crest or in the second after it.
bool isInPeak(const LoadPlan &plan, Milliseconds at);

} // namespace flamingo
