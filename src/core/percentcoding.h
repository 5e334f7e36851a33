#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace flamingo
{

/// Writes bytes other than letters, digits and "-_.~/" as a percent sign and two hexadecimal digits.
std::string percentEncode(std::string_view text);

/// Returns nothing if a percent sign isn't followed by two hexadecimal digits.
std::optional<std::string> percentDecode(std::string_view text);

} // namespace flamingo
