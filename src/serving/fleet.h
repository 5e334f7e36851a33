#pragma once

#include "core/ids.h"
#include "core/settingsreader.h"
#include "core/time.h"
#include "serving/holderid.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// Another process of the system as it has entered itself.
struct FleetMember {
    enum class Role {
        Instance, ///< Takes callers and is the home of programs.
        Archive, ///< Keeps turns on a disk.
    };

    InstanceId id;
    DomainId domain;
    SocketAddress peers; ///< Where other instances connect.
    HolderId holder; ///< Under which this life of it takes parts of budgets; only instances.
    Role role = Role::Instance;
    bool isGone = false; ///< No sign of life for long: it gets nothing new, but what it has done still counts.

    std::string encode() const;
    static std::optional<FleetMember> decode(const InstanceId &id, const std::string &bytes);
};

/// The instances among which programs are spread. Each program has one home, by a hash that all instances agree on, which
/// keeps its budget and its recent turns. Nothing breaks where views differ for a while: the store decides about
/// budgets, and turns lie there too.
class Fleet
{
public:
    /// Where members enter themselves in the store; the rest of the key is the member's name.
    static constexpr const char *KeyPrefix = "instance/";

    Fleet(InstanceId self, DomainId ownDomain);

    /// The list in the store has been read once.
    void setLoaded();
    bool isLoaded() const;

    /// Decisions that rest on the list being complete need one that was read within this time.
    static constexpr Milliseconds MostListAge{30000};

    void put(const FleetMember &member);
    void remove(const InstanceId &id, Instant now);

    /// A call to it found nobody, so it is left alone for a while that grows with each failure in a row.
    void markDown(const InstanceId &id, Instant now);
    void markUp(const InstanceId &id);

    /// This instance is about to stop and takes no programs any more.
    void setLeaving();

    /// Whether instances of other failure domains can't be reached at all.
    void setCutOff(bool isCutOff);

    /// Instances for a program, the best first. This instance counts as reachable.
    std::vector<InstanceId> homes(const ProgramId &program, Instant now) const;

    /// Whether this instance is the program's best home among all that are listed, reachable or not.
    bool isFirstHome(const ProgramId &program) const;

    /// Whether it would be also with those that have left the list lately. Instances whose lists differ by less than that
    /// never both are.
    bool wasFirstHome(const ProgramId &program) const;

    const FleetMember *find(const InstanceId &id) const;

    /// The instance that holds under this name and can be reached, if there is one.
    std::optional<InstanceId> liveHolder(const HolderId &holder, Instant now) const;

    const InstanceId &self() const;
    const DomainId &ownDomain() const;
    std::vector<FleetMember> others() const;

    /// Archives in the order in which a turn is to be kept there, those that can't be reached left out. The first two are
    /// in different failure domains where there are such.
    std::vector<FleetMember> archivesFor(const std::string &turn, Instant now) const;

    /// All archives, reachable or not.
    std::vector<FleetMember> archives() const;

    /// The other instances outside this one's failure domain.
    std::vector<FleetMember> othersElsewhere() const;

private:
    struct Member {
        FleetMember member;
        int failuresInRow = 0;
        Instant usableAt{};
    };

    bool isReachable(const Member &member, Instant now) const;
    bool isBetterHome(const ProgramId &program, const InstanceId &other) const;

    InstanceId m_self;
    DomainId m_ownDomain;
    bool m_isLoaded = false;
    bool m_isLeaving = false;
    bool m_isCutOff = false;
    std::map<InstanceId, Member> m_members;
    std::map<InstanceId, Instant> m_gone; ///< Instances that have left the list lately, and when.
};

} // namespace flamingo
