#pragma once

#include "serving/turncache.h"

#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// A turn on its way to an archive, with the archives that have the other copies.
struct ArchiveKeepRequest {
    RequestId id;
    std::string record; ///< TurnRecord::encode().
    bool isPrimary = true; ///< This archive brings it to the store; the others do if this one doesn't in time.
    std::vector<std::string> otherReplicas; ///< Addresses of the other copies.

    std::string encode() const;
    static std::optional<ArchiveKeepRequest> decode(const std::string &bytes);
};

/// Turns that are in the store, so that an archive need not keep them.
struct ArchiveForgetRequest {
    std::vector<RequestId> turns;

    std::string encode() const;
    static std::optional<ArchiveForgetRequest> decode(const std::string &bytes);
};

/// The calls that archives answer: a turn to keep, turns to forget, a look-up (followed by the turn's id).
constexpr const char *ArchiveKeepPath = "/turns/keep";
constexpr const char *ArchiveForgetPath = "/turns/forget";
constexpr const char *ArchiveLookupPath = "/turns/of/";

/// Where a turn lies in the store; followed by its id.
constexpr const char *TurnKeyPrefix = "turn/";

} // namespace flamingo
