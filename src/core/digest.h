#pragma once

#include "core/strongid.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace flamingo
{

/// A 128-bit content digest as 32 hexadecimal characters. It guards against mix-ups, not against forgers.
using Digest = StrongId<struct DigestTag, std::string>;

Digest digestOf(std::string_view text);

/// The digest of a link in a chain: the link before it, then this one's content.
Digest chainDigest(const Digest &previous, std::string_view text);

/// A 64-bit hash that is the same in every process; for placement.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

} // namespace flamingo
