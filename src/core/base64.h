#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace flamingo
{

/// Encodes bytes as standard base64 with padding.
std::string encodeBase64(std::string_view bytes);

/// Decodes standard base64 with padding. Returns nothing if the text isn't valid base64.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace flamingo
