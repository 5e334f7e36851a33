#include "persistence/storedid.h"

#include "core/crypto.h"
#include "core/percentcoding.h"

#include <fmt/format.h>

namespace flamingo
{

namespace
{
/// Keys of the store have 200 bytes at most; the rest is for their prefixes.
constexpr std::size_t MaxIdBytes = 170;
/// No encoded id begins like this, since a percent sign is followed by hexadecimal digits there.
constexpr const char *HashPrefix = "%hash-";
} // namespace

StoredId storedId(const std::string &id)
{
    const std::string encoded = percentEncode(id);
    return StoredId(encoded.size() <= MaxIdBytes ? encoded : HashPrefix + sha256Hex(id));
}

std::string turnKey(const StoredId &turn)
{
    return TurnKeyPrefix + turn.value();
}

std::string turnPartKey(const StoredId &turn, std::size_t part)
{
    return fmt::format("{}{}/{}", TurnPartKeyPrefix, part, turn.value());
}

std::string renewalKey(const StoredId &conversation)
{
    return RenewalKeyPrefix + conversation.value();
}

} // namespace flamingo
