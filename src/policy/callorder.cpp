#include "policy/callorder.h"

#include "policy/dispatcher.h"

#include <algorithm>
#include <utility>

namespace flamingo
{

namespace
{
/// Attained service and waiting time enter the rank in units of this many milliseconds.
constexpr double ServiceUnitMs = 250.0;
constexpr double AgeingWeight = 2.0;
constexpr double ClassRankDistance = 1e9;
/// A call that has waited this long counts as one class higher, so that it doesn't starve behind other classes.
constexpr double PromoteAfterMs = 20000;
/// How many queued calls are examined for one that may be sent, when the first ones may not.
constexpr std::size_t MaxLookAhead = 64;
} // namespace

// The distance between classes is far larger than the other terms. Within a class the program with the least attained service goes
// first, and waiting time offsets attained service, so that no call starves within its class.
double callRank(const DispatchRequest &call, const PolicyRules &rules, Instant now)
{
    double rank = rules.usesPriority ? ClassRankDistance * static_cast<int>(call.priority) : 0;
    const auto waitedMs = static_cast<double>(toMilliseconds(now - call.arrivedAt));
    if (rules.usesLeastAttainedService) {
        const double attainedService = static_cast<double>(call.attainedService.count()) / ServiceUnitMs;
        rank += attainedService - (rules.usesAgeing ? AgeingWeight * waitedMs / ServiceUnitMs : 0);
    } else {
        rank -= waitedMs;
    }
    if (rules.usesAgeing && rules.usesPriority && call.priority != PriorityClass::Urgent && waitedMs > PromoteAfterMs) {
        rank -= ClassRankDistance;
    }
    return rank;
}

std::vector<std::size_t> firstCalls(const std::vector<DispatchRequest> &queue, const PolicyRules &rules, Instant now)
{
    std::vector<std::pair<double, std::size_t>> ranking;
    ranking.reserve(queue.size());
    for (std::size_t n = 0; n < queue.size(); ++n) {
        ranking.emplace_back(callRank(queue[n], rules, now), n);
    }
    const std::size_t count = std::min(MaxLookAhead, ranking.size());
    std::partial_sort(ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(count), ranking.end());
    std::vector<std::size_t> first(count);
    std::transform(ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(count), first.begin(), [](const auto &entry) { return entry.second; });
    return first;
}

} // namespace flamingo
