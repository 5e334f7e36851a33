#pragma once

#include "core/ids.h"
#include "core/settingsreader.h"
#include "core/time.h"
#include "serving/incarnationid.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace flamingo
{

/// Set in an instance's entry by another one that can't reach it. No two are equal.
using GrantFenceId = StrongId<struct GrantFenceTag, std::string>;

/// Registration of an instance or an archive in the store.
struct MemberRecord {
    enum class Role {
        Instance, ///< Serves callers and is the home of programs.
        Archive, ///< Keeps turns on disk.
    };

    InstanceId id;
    DomainId domain;
    SocketAddress peerAddress; ///< Where other members connect.
    IncarnationId incarnation; ///< This start of the process; an instance holds parts of budgets under it.
    Role role = Role::Instance;
    bool isPresumedDead = false; ///< No heartbeat for long: it gets nothing new, but its grants and its turns still count.
    /// Since when the member has been listed without a gap, over restarts, in wall-clock milliseconds of its machine; 0 if that isn't known.
    std::int64_t listedSinceMs = 0;
    GrantFenceId grantFence{}; ///< Unless it is empty, the instance may make no provisional grants until it has registered again.

    std::string encode() const;
    static std::optional<MemberRecord> decode(const InstanceId &id, const std::string &bytes);
};

/// The instances and archives that are registered, and whether they can be reached. Each program has a home instance,
/// chosen by rendezvous hashing, which holds its budget and its recent turns. Instances may disagree about the home for a
/// while without harm, since the store decides about budgets and has the turns as well.
class MemberDirectory
{
public:
    /// Prefix of a member's key in the store; followed by the member's id.
    static constexpr const char *KeyPrefix = "instance/";

    MemberDirectory(InstanceId self, DomainId ownDomain);

    /// The member list has been read from the store at least once.
    void setLoaded();
    bool isLoaded() const;

    /// Decisions that need a complete list use one that was read within this time.
    static constexpr Milliseconds MaxListAge{30000};

    /// Adds or replaces a member and resets its failures.
    void put(const MemberRecord &member);
    void remove(const InstanceId &id, Instant now);

    /// A call to the member failed: it is not used for a time that doubles with each consecutive failure, up to a limit.
    void recordFailure(const InstanceId &id, Instant now);
    void recordSuccess(const InstanceId &id);

    /// Whether the member is listed, not presumed dead and not avoided for its failures.
    bool isReachable(const InstanceId &id, Instant now) const;

    /// This instance is about to stop; from here on it is a home only while no other instance can be reached.
    void setDraining();

    /// Sets whether this failure domain is cut off from all others.
    void setDomainIsolated(bool isIsolated);

    /// Sets the failure domains that can't be reached; their members count as unreachable.
    void setUnreachableDomains(std::set<DomainId> domains);

    /// Reachable instances in the order in which they are preferred as the program's home. This instance counts as reachable.
    std::vector<InstanceId> rankedHomes(const ProgramId &program, Instant now) const;

    /// Whether this instance is the program's preferred home among all that are listed, reachable or not.
    bool isPreferredHome(const ProgramId &program) const;

    /// The preferred home among all that are listed and not presumed dead, reachable or not. Instances with the same list agree on it.
    std::optional<InstanceId> listedHome(const ProgramId &key) const;

    /// All other listed instances that are preferred as the program's home to this one, presumed dead or not.
    std::vector<MemberRecord> outrankingInstances(const ProgramId &program) const;

    /// Whether the other instance, listed or not, is preferred as home to this one.
    bool outranksSelf(const ProgramId &program, const InstanceId &other) const;

    /// Whether this instance is also preferred over those that were removed from the list lately. When both conditions are
    /// required, two instances whose lists differ only by such removals never both meet them.
    bool isPreferredOverRemoved(const ProgramId &program) const;

    /// All other listed instances that are not presumed dead, reachable or not, in the order in which they are preferred as the
    /// program's home.
    std::vector<InstanceId> rankedOtherInstances(const ProgramId &program) const;

    const MemberRecord *find(const InstanceId &id) const;

    /// The member with this incarnation, reachable or not; nullptr if it isn't listed or is presumed dead.
    const MemberRecord *findIncarnation(const IncarnationId &incarnation) const;

    /// Whether the incarnation may still run: it is listed, or it belongs to an instance that this list doesn't know yet.
    bool mayBeAlive(const IncarnationId &incarnation) const;

    /// The instance with this incarnation, if it can be reached.
    std::optional<InstanceId> reachableInstance(const IncarnationId &incarnation, Instant now) const;

    const InstanceId &self() const;
    const DomainId &ownDomain() const;

    /// All instances but this one that are not presumed dead.
    std::vector<MemberRecord> otherInstances() const;

    /// All instances, this one included, presumed dead or not.
    std::vector<MemberRecord> listedInstances() const;

    /// Reachable archives in the order in which they are preferred for a turn. The first two are in different failure domains
    /// where possible.
    std::vector<MemberRecord> rankedArchives(const std::string &turn, Instant now) const;

    /// All archives that are not presumed dead, those that can't be reached last, and for the rest in the same order of preference.
    std::vector<MemberRecord> rankedListedArchives(const std::string &turn, Instant now) const;

    /// All archives, reachable or not.
    std::vector<MemberRecord> archives() const;

    /// Instances outside this one's failure domain that are not presumed dead.
    std::vector<MemberRecord> instancesInOtherDomains() const;

private:
    struct Entry {
        MemberRecord record;
        int consecutiveFailures = 0;
        Instant retryAt{};
    };

    bool isReachable(const Entry &entry, Instant now) const;
    static std::vector<MemberRecord> ranked(std::vector<MemberRecord> members, const std::string &key);
    using RankedInstances = std::vector<std::pair<std::uint64_t, InstanceId>>;
    static std::vector<InstanceId> inOrder(RankedInstances ranked);

    InstanceId m_self;
    DomainId m_ownDomain;
    bool m_isLoaded = false;
    bool m_isDraining = false;
    bool m_isDomainIsolated = false;
    std::set<DomainId> m_unreachableDomains;
    std::map<InstanceId, Entry> m_members;
    std::map<InstanceId, Instant> m_removedAt; ///< When instances were removed from the list, for those removed lately.
};

} // namespace flamingo
