#pragma once

#include "core/timerservice.h"
#include "http/connectionpool.h"
#include "serving/domainreachability.h"
#include "serving/memberdirectory.h"
#include "serving/registryversions.h"

#include <functional>

namespace flamingo
{

/// Detects whether this instance is isolated: it reaches neither the store nor any instance in another failure domain. An
/// isolated instance has its callers sent elsewhere. If only the store is unreachable, all instances are affected alike
/// and callers are best served where they are, so that doesn't count as isolated. Its pings carry the registry versions, so
/// that instances exchange them even when no caller's request makes them talk. It also tells which other failure domains can't be
/// reached.
class IsolationDetector
{
public:
    /// Path of the request sent to other instances, with the sender's registry versions as its body and the receiver's in
    /// the response. Any response counts, whatever its status.
    static constexpr const char *PingPath = "/ping";

    struct StoreHooks {
        std::function<Instant()> lastResponseAt; ///< Time of the store's last response to a direct call.
        std::function<void()> probe; ///< Sends a small request to the store.
    };

    struct VersionHooks {
        std::function<RegistryVersions()> ownVersions;
        std::function<void(const RegistryVersions &)> onPeerVersions;
    };

    struct ChangeHooks {
        std::function<void(bool isIsolated)> onIsolationChanged;
        std::function<void(const std::set<DomainId> &unreachable)> onUnreachableDomainsChanged;
    };

    IsolationDetector(asio::io_context &context,
                      TimerService &timers,
                      MemberDirectory &members,
                      ConnectionPool &peerConnections,
                      StoreHooks store,
                      VersionHooks versions,
                      ChangeHooks changes);

    void start();
    bool isIsolated() const;

    /// Another instance has responded to a call.
    void onPeerResponse(const InstanceId &from);

private:
    void check(Instant now);
    void checkIsolation(const std::vector<MemberRecord> &members, Instant now);
    void checkDomains(const std::vector<MemberRecord> &members, Instant now);
    void ping(const MemberRecord &member);
    void setIsolated(bool isIsolated);

    asio::io_context &m_context;
    TimerService &m_timers;
    MemberDirectory &m_members;
    ConnectionPool &m_peerConnections;
    StoreHooks m_store;
    VersionHooks m_versions;
    ChangeHooks m_changes;
    DomainReachability m_domains;
    Instant m_lastPeerResponseAt{}; ///< From an instance in another failure domain.
    Instant m_lastPingAt{};
    std::size_t m_nextPingIndex = 0;
    bool m_isIsolated = false;
};

} // namespace flamingo
