#pragma once

#include <string>
#include <string_view>

namespace flamingo
{

/// Lower-case hexadecimal SHA-256.
std::string sha256Hex(std::string_view text);

/// Raw HMAC-SHA-256.
std::string hmacSha256(std::string_view key, std::string_view text);

/// Bytes from the system's source of randomness.
std::string randomBytes(std::size_t n);

/// Compares in a time that doesn't depend on where the texts differ.
bool isEqualConstantTime(std::string_view a, std::string_view b);

} // namespace flamingo
