#include "serving/quotasettings.h"

#include <algorithm>
#include <cmath>

namespace flamingo
{

namespace
{
/// Keeps sums inside the range of int.
constexpr double MaxPartitionLimit = 10'000'000;
} // namespace

Milliseconds QuotaSettings::span() const
{
    return window + QuotaLeaseValidity;
}

int QuotaSettings::partitionLimit(const QuotaLimit &limit, int partition) const
{
    const double windowLimit = limit.requestsPerSecond * static_cast<double>(window.count()) / 1000 + limit.burst;
    // The tolerance has to cover the rounding of all partitions as well.
    const double share = std::ceil(windowLimit / QuotaPartitionCount) + std::floor(tolerance / (2.0 * QuotaPartitionCount));
    // With a small tolerance the shares are cut, so that their sum is within the bound.
    const double bound = std::floor(windowLimit * (1 + overshoot)) + tolerance;
    const double remainder = std::fmod(bound, QuotaPartitionCount);
    const double largest = std::floor(bound / QuotaPartitionCount) + (partition < remainder ? 1 : 0);
    return static_cast<int>(std::clamp(std::min(share, largest), 0.0, MaxPartitionLimit));
}

} // namespace flamingo
