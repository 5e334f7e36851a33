#pragma once

#include "serving/turnhistory.h"

#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// A turn on its way to an archive, with the archives that have the other copies.
struct ArchiveTurn {
    RequestId id;
    std::string record; ///< TurnRecord::encode().
    bool isFirst = true; ///< This archive brings it to the store; the others do if this one doesn't in time.
    std::vector<std::string> otherArchives; ///< Addresses of the other copies.

    std::string encode() const;
    static std::optional<ArchiveTurn> decode(const std::string &bytes);
};

/// Turns that are in the store, so that an archive need not keep them.
struct ArchiveForget {
    std::vector<RequestId> turns;

    std::string encode() const;
    static std::optional<ArchiveForget> decode(const std::string &bytes);
};

/// The calls that archives answer: a turn to keep, turns to forget, a look-up (followed by the turn's id).
constexpr const char *ArchiveKeepPath = "/turns/keep";
constexpr const char *ArchiveForgetPath = "/turns/forget";
constexpr const char *ArchiveLookupPath = "/turns/of/";

/// Where a turn lies in the store; followed by its id.
constexpr const char *TurnKeyPrefix = "turn/";

} // namespace flamingo
