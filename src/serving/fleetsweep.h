#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "serving/fleet.h"

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
class FleetSweep
{
public:
    /// Where signs of life lie in the store; the rest of the key is the member's name.
    static constexpr const char *SignPrefix = "alive/";
    static constexpr Milliseconds SignPeriod{300000};

    struct Settings {
        Milliseconds goneAfter{1800000}; ///< Or twice the retention, if that is longer.
        Milliseconds archiveForgottenAfter{7200000}; ///< Or four times the retention.
        Milliseconds instanceForgottenAfter{86400000}; ///< Beyond the life of a program.
        Milliseconds maxPause{900000}; ///< Of passes; after a longer one, all observations begin anew.
    };

    enum class Verdict {
        Present,
        Gone, ///< To be marked as gone.
        Forgotten, ///< To be taken off the list.
    };

    explicit FleetSweep(Settings settings);

    /// Programs may come back and turns may be continued for so long after their last use. The longest that was told counts.
    void setRetention(Milliseconds retention);

    /// Begins a pass over what the store holds, with the lives that are listed in it.
    void beginPass(std::set<HolderId> listedLives, Instant now);

    /// What to do with a listed member whose sign is at this revision, 0 for none.
    Verdict judge(const FleetMember &member, std::uint64_t signRevision, Instant now);

    /// Whether a life has been off the list for so long that what it has left can be removed.
    bool isLifeOver(const HolderId &life, Instant now);

private:
    struct Observation {
        std::uint64_t revision = 0;
        Instant since{};
        bool isOfThisPass = false;
    };

    Milliseconds goneAfter() const;
    Milliseconds forgottenAfter(const FleetMember &member) const;
    static void forgetPassed(std::map<std::string, Observation> &observations);
    Milliseconds unchangedFor(Observation &observation, std::uint64_t revision, Instant now) const;

    const Settings m_settings;
    Milliseconds m_retention{0};
    Instant m_passAt{};
    std::set<HolderId> m_listedLives;
    std::map<std::string, Observation> m_signs; ///< By member.
    std::map<std::string, Observation> m_lives; ///< Of those that aren't listed.
};

} // namespace flamingo
