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
class IsolationDetector
{
public:
    /// Answered by other instances; anything will do.
    static constexpr const char *PingPath = "/ping";

    struct StoreHooks {
        std::function<Instant()> lastResponseAt; ///< When the store last answered this instance directly.
        std::function<void()> probe; ///< Asks it something small.
    };

    IsolationDetector(TimerService &timers, MemberDirectory &fleet, LinkPool &peerConnections, StoreHooks store, std::function<void(bool)> onChange);

    void start();
    bool isIsolated() const;

    /// Another instance has answered a call.
    void onPeerResponse(const InstanceId &from);

private:
    void check(Instant now);
    void ping(const MemberRecord &member);
    void setIsolated(bool isIsolated);

    TimerService &m_timers;
    MemberDirectory &m_fleet;
    LinkPool &m_peerConnections;
    StoreHooks m_store;
    std::function<void(bool)> m_onChange;
    Instant m_lastPeerResponseAt{}; ///< From an instance of another failure domain.
    Instant m_lastPingAt{};
    std::size_t m_nextPingIndex = 0;
    bool m_isIsolated = false;
};

} // namespace flamingo
