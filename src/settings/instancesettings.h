#pragma once

#include "core/ids.h"
#include "core/settingsreader.h"
#include "core/time.h"
#include "journal/shardjournal.h"
#include "membership/membership.h"
#include "policy/policyrules.h"

#include <cstdint>
#include <string>
#include <vector>

namespace flamingo
{

/// Another instance, as this one reaches it.
struct PeerSettings {
    InstanceId id;
    DomainId domain;
    SocketAddress gossip;
    SocketAddress control;
    SocketAddress scheduler;
};

/// The settings file of an instance, which its three daemons share. docs/settings.md describes each key.
struct InstanceSettings {
    InstanceId id;
    DomainId domain;
    std::vector<DomainId> domains;
    std::uint32_t shardCount = 8;

    SocketAddress entryHttp;
    SocketAddress schedulerPeer;
    SocketAddress schedulerHttp;
    SocketAddress controlPeer;
    SocketAddress controlGossip;
    SocketAddress controlHttp;
    SocketAddress platformAddress;

    std::string peerSecret;
    std::string operatorToken;
    Milliseconds heartbeatPeriod{500};
    Milliseconds silenceTimeout{1500};

    JournalSettings journal;
    MembershipSettings membership;
    PolicyRules rules;

    std::size_t maxBodyBytes = std::size_t(4) * 1024 * 1024;
    Milliseconds defaultDeadline{60000};
    Milliseconds ownerWait{10000};
    Milliseconds commitWait{1500};
    Milliseconds programRetention{600000};
    Milliseconds memorySweepPeriod{2000};
    Milliseconds drainTimeout{60000};

    std::vector<PeerSettings> peers;
};

/// Reads and checks a settings file. Returns the problems, one a line; none when the settings are fine.
std::vector<std::string> loadInstanceSettings(const std::string &path, InstanceSettings &settings);

/// Tells this process from earlier ones of the same instance; taken from the wall clock.
std::uint64_t createIncarnation();

} // namespace flamingo
