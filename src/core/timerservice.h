#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace flamingo
{

/// Calls callbacks when they are due. It reads no clock: the thread that owns it passes the current time.
class TimerService
{
public:
    using Callback = std::function<void(Instant now)>;
    using TimerId = std::uint64_t;

    /// Calls the callback once, at or after the given time.
    TimerId at(Instant due, Callback callback);

    /// Calls the callback periodically, first one period after now. Each period starts when the previous call was made.
    TimerId every(Instant now, Milliseconds period, Callback callback);

    /// Cancels a timer. Has no effect if it has already run or been cancelled.
    void cancel(TimerId id);

    /// Calls all callbacks that are due.
    void advance(Instant now);

    /// Returns when the next timer is due, but at most one second after now.
    Instant nextDue(Instant now) const;

private:
    struct Timer {
        Callback callback;
        Milliseconds period;
    };
    using Key = std::pair<Instant, TimerId>;

    TimerId add(Instant due, Milliseconds period, Callback callback);

    std::map<Key, Timer> m_timers;
    std::map<TimerId, Instant> m_dueById;
    TimerId m_lastId = 0;
};

} // namespace flamingo
