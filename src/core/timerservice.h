#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace flamingo
{

/// Calls its subscribers when their time has come. It reads no clock: the thread that owns it says what time it is.
class TimerService
{
public:
    using Callback = std::function<void(Instant now)>;
    using TimerId = std::uint64_t;

    /// Calls back once, at or after the given time.
    TimerId at(Instant due, Callback callback);

    /// Calls back each time a period has passed, the first time one period after now.
    TimerId every(Instant now, Milliseconds period, Callback callback);

    /// Ends a subscription; one that has ended already is passed over.
    void cancel(TimerId id);

    /// Runs all that is due.
    void advance(Instant now);

    /// The next time at which something is due, at most a second after now.
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
