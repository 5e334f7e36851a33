#pragma once

#include "core/time.h"
#include "policy/policyrules.h"

#include <cstddef>
#include <vector>

namespace flamingo
{

struct DispatchRequest;

/// Rank of a queued call; a lower one goes first.
double callRank(const DispatchRequest &call, const PolicyRules &rules, Instant now);

/// Indexes of the queued calls that go first, in their order. Only the first few are returned.
std::vector<std::size_t> firstCalls(const std::vector<DispatchRequest> &queue, const PolicyRules &rules, Instant now);

} // namespace flamingo
