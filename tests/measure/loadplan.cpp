#include "measure/loadplan.h"

#include <random>

namespace flamingo
{

const char *programKindName(ProgramKind kind)
{
    switch (kind) {
    case ProgramKind::UrgentQuery:
        return "urgent";
    case ProgramKind::ShortTask:
        return "short";
    case ProgramKind::Conversation:
        return "conversation";
    case ProgramKind::LongTask:
        return "straggler";
    }
    return "";
}

bool isInPeak(const LoadPlan &plan, Milliseconds at)
{
    for (const Milliseconds peakStart : plan.peakStarts) {
        if (at >= peakStart && at < peakStart + plan.peakLength + Milliseconds(1000)) {
            return true;
        }
    }
    return false;
}

std::vector<Arrival> makeArrivals(const LoadPlan &plan, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<> uniform(0, 1);
    std::vector<Arrival> arrivals;
    double ms = 0;
    while (ms < static_cast<double>(plan.length.count())) {
        double rate = plan.baseProgramsPerSecond;
        for (const Milliseconds peakStart : plan.peakStarts) {
            const bool isInside = ms >= static_cast<double>(peakStart.count()) && ms < static_cast<double>((peakStart + plan.peakLength).count());
            rate = isInside ? plan.peakProgramsPerSecond : rate;
        }
        ms += std::exponential_distribution<>(rate / 1000)(random);
        const double draw = uniform(random);
        ProgramKind kind = ProgramKind::ShortTask;
        if (draw < plan.urgentShare) {
            kind = ProgramKind::UrgentQuery;
        } else if (draw < plan.urgentShare + plan.conversationShare) {
            kind = ProgramKind::Conversation;
        } else if (draw < plan.urgentShare + plan.conversationShare + plan.longTaskShare) {
            kind = ProgramKind::LongTask;
        }
        arrivals.push_back({Milliseconds(static_cast<std::int64_t>(ms)), kind});
    }
    return arrivals;
}

} // namespace flamingo
