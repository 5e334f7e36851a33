#pragma once

#include "http/connectionpool.h"
#include "platform/platformstore.h"
#include "serving/grantmarks.h"
#include "serving/memberdirectory.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace flamingo
{

/// Finds out whether an instance that doesn't answer the survey of GrantSurveyor may have provisional grants that the store hasn't
/// recorded. It may be gone for good, or cut off and still serve callers. First all archives are told to refuse marks that are based on
/// a member list without this instance (MarkFence). If the other one then has no mark, it has no unrecorded grants, and can make one
/// only by a list that has this instance on it.
///
/// That isn't enough for programs that prefer the other one as their home also by that list. For these its entry is changed first, which
/// tells it to make no grants before it has registered again (MemberRecord::grantFence), and archives refuse marks that are based on a
/// list without this change.
class MarkSurveyor
{
public:
    struct Hooks {
        std::function<std::optional<MemberListRevision>()> ownRevision; ///< Of this instance's entry in the member list, once it has one.
        /// The instance has no unrecorded grants; with the fence in its entry, if that was asked for.
        std::function<void(const InstanceId &instance, const GrantFenceId &fence)> onNoGrants;
    };

    MarkSurveyor(asio::io_context &context,
                 platform::PlatformStore &store,
                 const MemberDirectory &members,
                 ConnectionPool &archiveConnections,
                 GrantMarkStore &marks,
                 IncarnationId self,
                 Hooks hooks);

    /// Looks one of the instances up. Does nothing while a lookup is under way, or for a while after one has failed.
    void lookUp(const std::vector<MemberRecord> &silent, Instant now);

    /// The same, with a fence in its entry.
    void fence(const std::vector<MemberRecord> &silent, Instant now);

private:
    struct Lookup {
        MemberRecord member; ///< As listed, or as read from the store if it is to be fenced.
        Instant startedAt{};
        std::vector<GrantHistory::Entry> entries; ///< Their marks have yet to be looked for.
        std::size_t pendingFences = 0;
        bool hasFailed = false;
    };
    using LookupPtr = std::shared_ptr<Lookup>;

    /// An archive's incarnation that has raised its fence to this revision.
    struct FencedArchive {
        IncarnationId incarnation;
        MemberListRevision revision;
    };

    bool isOpen(const MemberRecord &member, Instant now) const;
    LookupPtr begin(const std::vector<MemberRecord> &silent, Instant now);
    void readEntry(const LookupPtr &lookup);
    void writeFence(const LookupPtr &lookup, platform::Revision entryRevision);
    bool isFenced(const MemberRecord &archive, MemberListRevision revision) const;
    void fenceArchives(const LookupPtr &lookup, MemberListRevision revision);
    void onArchiveAnswered(const LookupPtr &lookup, const MemberRecord &archive, std::optional<MemberListRevision> fencedTo);
    void readHistory(const LookupPtr &lookup);
    void loadNextMark(const LookupPtr &lookup);
    void onMarkLoaded(const LookupPtr &lookup, TurnLookup::Status status);
    void fail(const Lookup &lookup);
    void finish(const Lookup &lookup, bool mayHaveGrants);

    asio::io_context &m_context;
    platform::PlatformStore &m_store;
    const MemberDirectory &m_members;
    ConnectionPool &m_archiveConnections;
    GrantMarkStore &m_marks;
    Hooks m_hooks;
    const IncarnationId m_self;
    std::uint64_t m_lastFence = 0;
    std::map<InstanceId, FencedArchive> m_fencedArchives;
    std::map<InstanceId, Instant> m_finishedAt; ///< The member list shows the result a little later.
    std::map<InstanceId, IncarnationId> m_withGrants; ///< May have grants, so they aren't looked up again.
    bool m_isLookingUp = false;
    Instant m_nextLookupAt{};
    Milliseconds m_retryDelay;
};

} // namespace flamingo
