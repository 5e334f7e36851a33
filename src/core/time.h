#pragma once

#include <chrono>
#include <cstdint>

namespace flamingo
{

using Milliseconds = std::chrono::milliseconds;

/// A reading of the monotonic clock. Decision code gets it as an argument and never reads the clock itself.
using Instant = std::chrono::steady_clock::time_point;

/// Whole milliseconds of a duration of any resolution.
template<typename Duration>
std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

} // namespace flamingo
