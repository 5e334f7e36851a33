#pragma once

#include "core/ids.h"
#include "core/settingsreader.h"
#include "core/time.h"
#include "serving/incarnationid.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// Another process of the system as it has entered itself.
struct MemberRecord {
    enum class Role {
        Instance, ///< Takes callers and is the home of programs.
        Archive, ///< Keeps turns on a disk.
    };

    InstanceId id;
    DomainId domain;
    SocketAddress peerAddress; ///< Where other instances connect.
    IncarnationId incarnation; ///< Under which this life of it takes parts of budgets; only instances.
    Role role = Role::Instance;
    bool isPresumedDead = false; ///< No sign of life for long: it gets nothing new, but what it has done still counts.

    std::string encode() const;
    static std::optional<MemberRecord> decode(const InstanceId &id, const std::string &bytes);
};

/// The instances among which programs are spread. Each program has one home, by a hash that all instances agree on, which
/// keeps its budget and its recent turns. Nothing breaks where views differ for a while: the store decides about
/// budgets, and turns lie there too.
class MemberDirectory
{
public:
    /// Where members enter themselves in the store; the rest of the key is the member's name.
    static constexpr const char *KeyPrefix = "instance/";

    MemberDirectory(InstanceId self, DomainId ownDomain);

    /// The list in the store has been read once.
    void setLoaded();
    bool isLoaded() const;

    /// Decisions that rest on the list being complete need one that was read within this time.
    static constexpr Milliseconds MaxListAge{30000};

    void put(const MemberRecord &member);
    void remove(const InstanceId &id, Instant now);

    /// A call to it found nobody, so it is left alone for a while that grows with each failure in a row.
    void recordFailure(const InstanceId &id, Instant now);
    void recordSuccess(const InstanceId &id);

    /// This instance is about to stop and takes no programs any more.
    void setLeaving();

    /// Whether instances of other failure domains can't be reached at all.
    void setDomainIsolated(bool isIsolated);

    /// Instances for a program, the best first. This instance counts as reachable.
    std::vector<InstanceId> rankedHomes(const ProgramId &program, Instant now) const;

    /// Whether this instance is the program's best home among all that are listed, reachable or not.
    bool isPreferredHome(const ProgramId &program) const;

    /// Whether it would be also with those that have left the list lately. Instances whose lists differ by less than that
    /// never both are.
    bool isPreferredOverRemoved(const ProgramId &program) const;

    const MemberRecord *find(const InstanceId &id) const;

    /// The instance that holds under this name and can be reached, if there is one.
    std::optional<InstanceId> reachableInstance(const IncarnationId &incarnation, Instant now) const;

    const InstanceId &self() const;
    const DomainId &ownDomain() const;
    std::vector<MemberRecord> otherInstances() const;

    /// Archives in the order in which a turn is to be kept there, those that can't be reached left out. The first two are
    /// in different failure domains where there are such.
    std::vector<MemberRecord> rankedArchives(const std::string &turn, Instant now) const;

    /// All archives, reachable or not.
    std::vector<MemberRecord> archives() const;

    /// The other instances outside this one's failure domain.
    std::vector<MemberRecord> instancesInOtherDomains() const;

private:
    struct Entry {
        MemberRecord record;
        int consecutiveFailures = 0;
        Instant retryAt{};
    };

    bool isReachable(const Entry &entry, Instant now) const;
    bool outranksSelf(const ProgramId &program, const InstanceId &other) const;

    InstanceId m_self;
    DomainId m_ownDomain;
    bool m_isLoaded = false;
    bool m_isLeaving = false;
    bool m_isDomainIsolated = false;
    std::map<InstanceId, Entry> m_members;
    std::map<InstanceId, Instant> m_removedAt; ///< Instances that have left the list lately, and when.
};

} // namespace flamingo
