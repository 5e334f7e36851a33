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

/// Another instance and the addresses at which this one reaches it.
struct PeerSettings {
    InstanceId id;
    DomainId domain;
    SocketAddress gossip;
    SocketAddress control;
    SocketAddress scheduler;
};

/// The settings of an instance, which its three daemons read from the same file. docs/settings.md describes each key.
struct InstanceSettings {
    InstanceId id;
    DomainId domain;
    std::vector<DomainId> domains; ///< All failure domains, including this instance's, in the same order on every instance.
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
    Milliseconds silenceTimeout{1500}; ///< A peer link that receives nothing for this time is closed.

    JournalSettings journal;
    MembershipSettings membership;
    PolicyRules rules;

    std::size_t maxBodyBytes = std::size_t(4) * 1024 * 1024;
    Milliseconds defaultDeadline{60000};
    Milliseconds ownerWait{10000}; ///< How long a request waits until an owner of its program is known.
    Milliseconds commitWait{1500}; ///< How long an answer waits for its turn to be committed.
    Milliseconds programRetention{600000}; ///< How long the answers of an ended program can be fetched.
    Milliseconds memorySweepPeriod{2000}; ///< How often a scheduler asks the engines for the programs that they hold memory for.
    Milliseconds drainTimeout{60000}; ///< How long a daemon that stops waits for the work under way.

    std::vector<PeerSettings> peers;
};

/// Reads and checks a settings file. Returns the problems, one per string; none if the settings are valid.
std::vector<std::string> loadInstanceSettings(const std::string &path, InstanceSettings &settings);

/// Returns a number that distinguishes this process from earlier ones of the same instance: milliseconds of the wall clock. Each
/// call returns the current time.
std::uint64_t createIncarnation();

} // namespace flamingo
