#pragma once

#include "core/strongid.h"

#include <cstdint>
#include <optional>

namespace flamingo
{

/// The store's revision up to which a member list holds all changes.
using MemberListRevision = StrongId<struct MemberListRevisionTag, std::uint64_t>;

/// An archive's bound on the marks that it still takes; see GrantMarks. An instance that was added has it raised to the revision of its
/// own entry. From then on no other instance can begin to make provisional grants by a list that lacks the added one.
///
/// The bound is kept in memory only. A process that was started anew takes no marks before the store has accepted its entry, which
/// has a later revision than any bound that its earlier incarnation was told of.
class MarkFence
{
public:
    /// The store has accepted this process's entry at that revision.
    void setRegistered(MemberListRevision revision);

    /// Refuses marks that are based on a list of an earlier revision.
    void raise(MemberListRevision revision);

    /// Whether a mark that is based on this list may be stored.
    bool admits(MemberListRevision revision) const;

private:
    bool m_isRegistered = false;
    MemberListRevision m_lowest;
};

} // namespace flamingo
