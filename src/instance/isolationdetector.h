#pragma once

#include "core/timerservice.h"
#include "http/linkpool.h"
#include "serving/memberdirectory.h"

#include <functional>

namespace flamingo
{

/// Detects whether this instance is isolated: it reaches neither the store nor any instance in another failure domain. An
/// isolated instance has its callers sent elsewhere. If only the store is unreachable, all instances are affected alike
/// and callers are best served where they are, so that doesn't count as isolated.
class IsolationDetector
{
public:
    /// Path of the request sent to other instances. Any response counts, whatever its status.
    static constexpr const char *PingPath = "/ping";

    struct StoreHooks {
        std::function<Instant()> lastResponseAt; ///< Time of the store's last response to a direct call.
        std::function<void()> probe; ///< Sends a small request to the store.
    };

    /// onChange is called with the new state whenever it changes.
    IsolationDetector(TimerService &timers, MemberDirectory &members, LinkPool &peerConnections, StoreHooks store, std::function<void(bool)> onChange);

    void start();
    bool isIsolated() const;

    /// Another instance has responded to a call.
    void onPeerResponse(const InstanceId &from);

private:
    void check(Instant now);
    void ping(const MemberRecord &member);
    void setIsolated(bool isIsolated);

    TimerService &m_timers;
    MemberDirectory &m_members;
    LinkPool &m_peerConnections;
    StoreHooks m_store;
    std::function<void(bool)> m_onChange;
    Instant m_lastPeerResponseAt{}; ///< From an instance in another failure domain.
    Instant m_lastPingAt{};
    std::size_t m_nextPingIndex = 0;
    bool m_isIsolated = false;
};

} // namespace flamingo
