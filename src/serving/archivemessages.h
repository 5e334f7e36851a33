#pragma once

#include "serving/markfence.h"
#include "serving/turncache.h"

#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// Asks an archive to keep a turn, and names the archives that hold the other replicas.
struct ArchiveKeepRequest {
    RequestId id;
    std::string record; ///< TurnRecord::encode().
    bool isPrimary = true; ///< This archive writes the turn to the store; the others do so if it doesn't in time.
    std::vector<std::string> otherReplicas; ///< Addresses of the archives with the other replicas.
    /// Of a mark for provisional grants: the member list that the grants are based on. See MarkFence.
    std::optional<MemberListRevision> memberListRevision{};

    std::string encode() const;
    static std::optional<ArchiveKeepRequest> decode(const std::string &bytes);
};

/// Tells an archive that these turns are in the store, so that it can drop its replicas.
struct ArchiveForgetRequest {
    std::vector<RequestId> turns;

    std::string encode() const;
    static std::optional<ArchiveForgetRequest> decode(const std::string &bytes);
};

/// Asks an archive to refuse marks that are based on older member lists; see MarkFence.
struct ArchiveFenceRequest {
    MemberListRevision revision;

    std::string encode() const;
    static std::optional<ArchiveFenceRequest> decode(const std::string &bytes);
};

/// Paths that archives serve: keep a turn, forget turns, look a turn up (followed by the turn's id, percent-encoded), fence marks.
constexpr const char *ArchiveKeepPath = "/turns/keep";
constexpr const char *ArchiveForgetPath = "/turns/forget";
constexpr const char *ArchiveLookupPath = "/turns/of/";
constexpr const char *ArchiveFencePath = "/marks/fence";

} // namespace flamingo
