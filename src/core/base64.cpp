#include "core/base64.h"

#include <openssl/evp.h>

namespace flamingo
{

std::string encodeBase64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int n =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    std::string bytes(text.size() / 4 * 3 + 3, '\0');
    const int n =
        EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (n < 0) {
        return std::nullopt;
    }
    // EVP_DecodeBlock counts the padding as decoded bytes.
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    bytes.resize(static_cast<std::size_t>(n) - padding);
    return bytes;
}

} // namespace flamingo
