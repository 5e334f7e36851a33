#pragma once

#include "core/strongid.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace flamingo
{

/// A 128-bit content digest as 32 hexadecimal digits. It detects accidental mismatches; it isn't a cryptographic hash, so it
/// doesn't detect forged content.
using Digest = StrongId<struct DigestTag, std::string>;

Digest digestOf(std::string_view text);

/// Returns the digest of an element of a hash chain: of the previous element's digest followed by this element's content.
Digest chainDigest(const Digest &previous, std::string_view text);

/// A 64-bit hash that is the same in every process, so that all instances make the same placement decisions.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

} // namespace flamingo
