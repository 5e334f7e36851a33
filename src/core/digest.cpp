#include "core/digest.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace flamingo
{

Digest digestOf(std::string_view text)
{
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return Digest(fmt::format("{:016x}{:016x}", hash.high64, hash.low64));
}

Digest chainDigest(const Digest &previous, std::string_view text)
{
    std::string combined = previous.value();
    combined.append(text);
    return digestOf(combined);
}

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace flamingo
