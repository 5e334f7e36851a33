#pragma once

#include <string>
#include <string_view>

namespace flamingo
{

/// The SHA-256 hash as lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);

/// The HMAC-SHA-256 as 32 raw bytes.
std::string hmacSha256(std::string_view key, std::string_view text);

/// Returns n bytes from OpenSSL's cryptographically secure random generator.
std::string randomBytes(std::size_t n);

/// Compares secrets. The time doesn't depend on where the texts differ, so that it reveals nothing about their content.
bool isEqualConstantTime(std::string_view a, std::string_view b);

} // namespace flamingo
