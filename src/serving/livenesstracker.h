#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "serving/memberdirectory.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace flamingo
{

/// Finds out which members of the fleet are gone for good, by signs of life that each writes to the store now and then.
/// Only this process's own observations count, since clocks of others may jump.
///
/// A member without a sign is first marked as gone: it is no home any more and takes no turns, but may still have lent
/// to programs, and an archive may still be the only one with a turn. It is forgotten once no program and no turn of its
/// time can be asked for any more.
class LivenessTracker
{
public:
    /// Where signs of life lie in the store; the rest of the key is the member's name.
    static constexpr const char *HeartbeatPrefix = "alive/";
    static constexpr Milliseconds HeartbeatPeriod{300000};

    struct Settings {
        Milliseconds deadAfter{1800000}; ///< Or twice the retention, if that is longer.
        Milliseconds removeArchiveAfter{7200000}; ///< Or four times the retention.
        Milliseconds removeInstanceAfter{86400000}; ///< Beyond the life of a program.
        Milliseconds maxPassInterval{900000}; ///< Of passes; after a longer one, all observations begin anew.
    };

    enum class Action {
        Keep,
        MarkDead, ///< To be marked as gone.
        Remove, ///< To be taken off the list.
    };

    explicit LivenessTracker(Settings settings);

    /// Programs may come back and turns may be continued for so long after their last use. The longest that was told counts.
    void raiseRetention(Milliseconds retention);

    /// Begins a pass over what the store holds, with the lives that are listed in it.
    void beginPass(std::set<IncarnationId> listedIncarnations, Instant now);

    /// What to do with a listed member whose sign is at this revision, 0 for none.
    Action assess(const MemberRecord &member, std::uint64_t heartbeatRevision, Instant now);

    /// Whether a life has been off the list for so long that what it has left can be removed.
    bool isIncarnationDead(const IncarnationId &incarnation, Instant now);

private:
    struct Observation {
        std::uint64_t revision = 0;
        Instant since{};
        bool isObservedInPass = false;
    };

    Milliseconds deadAfter() const;
    Milliseconds removeAfter(const MemberRecord &member) const;
    static void eraseUnobserved(std::map<std::string, Observation> &observations);
    Milliseconds observeRevision(Observation &observation, std::uint64_t revision, Instant now) const;

    const Settings m_settings;
    Milliseconds m_retention{0};
    Instant m_passStartedAt{};
    std::set<IncarnationId> m_listedIncarnations;
    std::map<std::string, Observation> m_heartbeats; ///< By member.
    std::map<std::string, Observation> m_unlistedIncarnations; ///< Of those that aren't listed.
};

} // namespace flamingo
