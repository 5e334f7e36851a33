#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace flamingo
{

/// Standard base64 with padding.
std::string encodeBase64(std::string_view bytes);

/// Nothing when the text isn't base64.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace flamingo
