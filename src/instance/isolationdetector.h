#pragma once

#include "core/timerservice.h"
#include "http/linkpool.h"
#include "serving/memberdirectory.h"

#include <functional>

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

    struct StoreHooks {
        std::function<Instant()> answeredAt; ///< When the store last answered this instance directly.
        std::function<void()> probe; ///< Asks it something small.
    };

    IsolationWatch(TimerService &timers, MemberDirectory &fleet, LinkPool &peers, StoreHooks store, std::function<void(bool)> onChange);

    void start();
    bool isIsolated() const;

    /// Another instance has answered a call.
    void onHeard(const InstanceId &from);

private:
    void check(Instant now);
    void ping(const MemberRecord &member);
    void setIsolated(bool isIsolated);

    TimerService &m_timers;
    MemberDirectory &m_fleet;
    LinkPool &m_peers;
    StoreHooks m_store;
    std::function<void(bool)> m_onChange;
    Instant m_heardAt{}; ///< From an instance of another failure domain.
    Instant m_askedAt{};
    std::size_t m_next = 0;
    bool m_isIsolated = false;
};

} // namespace flamingo
