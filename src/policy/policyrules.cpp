#include "policy/policyrules.h"

#include <utility>

namespace flamingo
{

namespace
{
constexpr std::pair<const char *, bool PolicyRules::*> Switches[] = {
    {"priority", &PolicyRules::usesPriority},
    {"least-service", &PolicyRules::usesLeastService},
    {"ageing", &PolicyRules::usesAgeing},
    {"urgent-reserve", &PolicyRules::reservesForUrgent},
    {"long-share", &PolicyRules::limitsLongCalls},
    {"adaptive-limits", &PolicyRules::adaptsLimits},
    {"affinity", &PolicyRules::usesAffinity},
    {"avoid-slow", &PolicyRules::avoidsSlow},
    {"early-refusal", &PolicyRules::refusesEarly},
    {"moves", &PolicyRules::moves},
    {"hedges", &PolicyRules::hedges},
};
} // namespace

PolicyRules PolicyRules::baseline()
{
    PolicyRules rules;
    for (const auto &[name, member] : Switches) {
        rules.*member = false;
    }
    return rules;
}

bool PolicyRules::switchOff(const std::string &rule)
{
    for (const auto &[name, member] : Switches) {
        if (rule == name) {
            this->*member = false;
            return true;
        }
    }
    return false;
}

} // namespace flamingo
