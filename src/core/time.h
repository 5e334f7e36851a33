#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

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

/// Now, by a clock that goes on while the machine is suspended; its readings don't mix with those of the monotonic clock.
inline Instant suspendAwareNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return Instant(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace flamingo
