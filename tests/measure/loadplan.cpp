#include "measure/loadplan.h"

#include <random>

namespace flamingo
{

const char *shapeName(ProgramShape shape)
{
    switch (shape) {
    case ProgramShape::UrgentQuery:
        return "urgent";
    case ProgramShape::ShortTask:
        return "short";
    case ProgramShape::Conversation:
        return "conversation";
    case ProgramShape::Straggler:
        return "straggler";
    }
    return "";
}

bool isAtCrest(const LoadPlan &plan, Milliseconds at)
{
    for (const Milliseconds crest : plan.crestsAt) {
        if (at >= crest && at < crest + plan.crestLength + Milliseconds(1000)) {
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
        double rate = plan.basePerSecond;
        for (const Milliseconds crest : plan.crestsAt) {
            const bool isInside = ms >= static_cast<double>(crest.count()) && ms < static_cast<double>((crest + plan.crestLength).count());
            rate = isInside ? plan.crestPerSecond : rate;
        }
        ms += std::exponential_distribution<>(rate / 1000)(random);
        const double pick = uniform(random);
        ProgramShape shape = ProgramShape::ShortTask;
        if (pick < plan.urgentShare) {
            shape = ProgramShape::UrgentQuery;
        } else if (pick < plan.urgentShare + plan.conversationShare) {
            shape = ProgramShape::Conversation;
        } else if (pick < plan.urgentShare + plan.conversationShare + plan.stragglerShare) {
            shape = ProgramShape::Straggler;
        }
        arrivals.push_back({Milliseconds(static_cast<std::int64_t>(ms)), shape});
    }
    return arrivals;
}

} // namespace flamingo
