#pragma once

#include "persistence/storedid.h"
#include "serving/incarnationid.h"

#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// Lists turns that were written together. Stored in the same transaction, so that the turns can be removed by another
/// process when their writer is gone.
struct TurnIndex {
    static constexpr const char *KeyPrefix = "turns-of/";

    IncarnationId writer;
    std::vector<StoredId> turns;
    std::vector<StoredId> conversations; ///< Of each turn.
    std::vector<std::size_t> parts; ///< Number of keys of each turn beside its own one.

    /// Store keys of the turns.
    std::vector<std::string> keys() const;

    std::string encode() const;
    static std::optional<TurnIndex> decode(const std::string &bytes);
};

} // namespace flamingo
