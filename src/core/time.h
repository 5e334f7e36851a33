#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace flamingo
{

using Milliseconds = std::chrono::milliseconds;

/// A time of the monotonic clock. Code that makes decisions gets it as an argument and never reads the clock itself.
using Instant = std::chrono::steady_clock::time_point;

/// Converts a duration of any resolution to milliseconds, truncating fractions.
template<typename Duration>
std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

/// The current time of a clock that also advances while the machine is suspended. Its times can't be compared with those of the
/// monotonic clock.
inline Instant suspendAwareNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return Instant(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace flamingo
