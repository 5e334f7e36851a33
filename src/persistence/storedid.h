#pragma once

#include "core/strongid.h"
#include "serving/requestmetadata.h"

#include <cstddef>
#include <string>

namespace flamingo
{

/// An id as it stands in the keys of the store. Ids come from callers and may hold any bytes and have any length; keys are text
/// of limited length.
using StoredId = StrongId<struct StoredIdTag, std::string>;

/// The same for the same id, and different for different ones.
StoredId storedId(const std::string &id);

template<typename Tag>
StoredId storedId(const StrongId<Tag, std::string> &id)
{
    return storedId(id.value());
}

/// The key of a turn.
std::string turnKey(const StoredId &turn);

/// The key of a part of a turn that is longer than a value of the store; the first part has number 0.
std::string turnPartKey(const StoredId &turn, std::size_t part);

/// The key that is written each time a conversation is renewed.
std::string renewalKey(const StoredId &conversation);

/// Prefixes of these keys.
constexpr const char *TurnKeyPrefix = "turn/";
constexpr const char *TurnPartKeyPrefix = "turn-part/";
constexpr const char *RenewalKeyPrefix = "renewed/";

} // namespace flamingo
