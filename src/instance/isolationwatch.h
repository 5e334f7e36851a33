#pragma once

#include "core/timerservice.h"
#include "http/linkpool.h"
#include "serving/fleet.h"

#include <functional>
#include <optional>

namespace flamingo
{

/// Tells whether this instance is cut off: it reaches neither the store nor any instance of another failure domain. While
/// only the store is away, all instances are alike and callers are served best where they are; a cut-off instance has
/// them sent elsewhere.
class IsolationWatch
{
public:
    /// Answered by other instances; anything will do.
    static constexpr const char *PingPath = "/ping";

    IsolationWatch(TimerService &timers, Fleet &fleet, LinkPool &peers, std::function<bool()> isStoreSuspect, std::function<void(bool)> onChange);

    void start();
    bool isIsolated() const;

private:
    void check(Instant now);
    void ping(const FleetMember &member);
    void setIsolated(bool isIsolated);

    TimerService &m_timers;
    Fleet &m_fleet;
    LinkPool &m_peers;
    std::function<bool()> m_isStoreSuspect;
    std::function<void(bool)> m_onChange;
    std::optional<Instant> m_suspectSince;
    std::optional<Instant> m_lastAnswer; ///< Since the store became suspect.
    std::size_t m_next = 0;
    bool m_isIsolated = false;
};

} // namespace flamingo
