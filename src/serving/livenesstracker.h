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

/// Detects members that are gone for good, by the heartbeats that each member writes to the store. Time is measured from
/// when this process saw a heartbeat change, since the clocks of other machines may jump.
///
/// A member without heartbeats is first marked as dead: it is no longer a home and gets no turns, but may still have made
/// provisional grants, and an archive may still hold the only replica of a turn. It is removed once nobody can ask for a
/// program or turn of its time any more.
class LivenessTracker
{
public:
    /// Prefix of a heartbeat's key in the store; followed by the member's id.
    static constexpr const char *HeartbeatPrefix = "alive/";
    static constexpr Milliseconds HeartbeatPeriod{300000};

    struct Settings {
        Milliseconds deadAfter{1800000}; ///< Or twice the retention, if that is longer.
        Milliseconds removeArchiveAfter{7200000}; ///< Or four times the retention, if that is longer.
        Milliseconds removeInstanceAfter{86400000}; ///< Longer than a program lasts; or four times the retention, if that is longer.
        Milliseconds maxPassInterval{900000}; ///< After a longer time without a pass, all observations start over.
    };

    enum class Action {
        Keep,
        MarkDead, ///< Set isPresumedDead in the member's record.
        Remove, ///< Remove the member's record from the store.
    };

    explicit LivenessTracker(Settings settings);

    /// Programs and turns may be continued for this long after their last use. A value below an earlier one is ignored.
    void raiseRetention(Milliseconds retention);

    /// Begins a pass over the store's contents, with the incarnations of the listed members.
    void beginPass(std::set<IncarnationId> listedIncarnations, Instant now);

    /// What to do with a listed member whose heartbeat key has this revision; 0 when there is none.
    Action assess(const MemberRecord &member, std::uint64_t heartbeatRevision, Instant now);

    /// Records that a pass met data of this incarnation. Returns whether it has been missing from the list for so long that
    /// the data can be removed.
    bool isIncarnationDead(const IncarnationId &incarnation, Instant now);

private:
    struct Observation {
        std::uint64_t revision = 0;
        Instant since{};
        bool isObservedInPass = false;
    };

    Milliseconds deadAfter() const;
    Milliseconds removeAfter(const MemberRecord &member) const;
    /// Removes what the last pass didn't observe, and resets the marks for the next pass.
    static void eraseUnobserved(std::map<std::string, Observation> &observations);
    /// Records a revision and returns for how long it has been unchanged.
    Milliseconds observeRevision(Observation &observation, std::uint64_t revision, Instant now) const;

    const Settings m_settings;
    Milliseconds m_retention{0};
    Instant m_passStartedAt{};
    std::set<IncarnationId> m_listedIncarnations;
    std::map<std::string, Observation> m_heartbeats; ///< By member.
    std::map<std::string, Observation> m_unlistedIncarnations; ///< Incarnations that are not in the list.
};

} // namespace flamingo
