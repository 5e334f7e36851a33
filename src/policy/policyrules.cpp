#include "policy/policyrules.h"

#include <utility>

namespace flamingo
{

namespace
{
constexpr std::pair<const char *, bool PolicyRules::*> NamedRules[] = {
    {"priority", &PolicyRules::usesPriority},
    {"least-service", &PolicyRules::usesLeastAttainedService},
    {"ageing", &PolicyRules::usesAgeing},
    {"urgent-reserve", &PolicyRules::reservesUrgentSlots},
    {"long-share", &PolicyRules::limitsLongCalls},
    {"adaptive-limits", &PolicyRules::adaptsConcurrencyLimits},
    {"affinity", &PolicyRules::usesPrefixAffinity},
    {"avoid-slow", &PolicyRules::avoidsSlowEndpoints},
    {"early-refusal", &PolicyRules::refusesEarly},
    {"moves", &PolicyRules::movesStreams},
    {"even-load", &PolicyRules::spreadsEvenly},
    {"hedges", &PolicyRules::hedgesCalls},
};
} // namespace

PolicyRules PolicyRules::baseline()
{
    PolicyRules rules;
    for (const auto &[name, member] : NamedRules) {
        rules.*member = false;
    }
    return rules;
}

bool PolicyRules::disable(const std::string &ruleName)
{
    for (const auto &[name, member] : NamedRules) {
        if (ruleName == name) {
            this->*member = false;
            return true;
        }
    }
    return false;
}

} // namespace flamingo
